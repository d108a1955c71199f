#include "core/config/config_problem.h"

#include "core/base/enum_names.h"

namespace radishvane
{

std::string describe(const ConfigProblem &problem)
{
    std::string text = problem.at.file;
    if (problem.at.line > 0) {
        text += ':' + std::to_string(problem.at.line) + ':' + std::to_string(problem.at.column);
    }
    text += ": ";
    text += enumName(configProblemKindNames, problem.kind);
    text += ": ";
    if (!problem.field.empty()) {
        text += problem.field + ' ';
    }
    if (!problem.value.empty()) {
        text += '\'' + problem.value + "' ";
    }
    return text + problem.message;
}

} // namespace radishvane
