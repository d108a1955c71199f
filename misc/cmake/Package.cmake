# One package of the workspace: a library with public headers that mirrors its folder, installed and exported.
function(radishvane_package name)
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_library(radishvane_${name} STATIC ${sources})
    add_library(radishvane::${name} ALIAS radishvane_${name})
    target_include_directories(radishvane_${name} PUBLIC
        $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}>
        $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}/radishvane>)
    set_target_properties(radishvane_${name} PROPERTIES EXPORT_NAME ${name})
    install(TARGETS radishvane_${name} EXPORT radishvane-${name}
        ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
    install(DIRECTORY ${CMAKE_CURRENT_SOURCE_DIR}/
        DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/radishvane/${name}
        FILES_MATCHING PATTERN "*.h")
    install(EXPORT radishvane-${name} NAMESPACE radishvane::
        DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/radishvane)
endfunction()
