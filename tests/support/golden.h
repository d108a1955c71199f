#pragma once

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <string>

namespace radishvane::tests
{

/// Compares a whole session with its golden file; RADISHVANE_UPDATE_GOLDEN=1 writes the file in place of that.
inline void expectGolden(const std::string &name, const std::string &text)
{
    const std::string path = std::string(RADISHVANE_GOLDEN_FOLDER) + '/' + name + ".txt";
    if (std::getenv("RADISHVANE_UPDATE_GOLDEN") != nullptr) {
        std::ofstream(path) << text;
        return;
    }
    std::ifstream file(path);
    const std::string golden(std::istreambuf_iterator<char>(file), {});
    EXPECT_EQ(golden, text) << "the session differs from " << name;
}

} // namespace radishvane::tests
