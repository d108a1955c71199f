#pragma once

#include <gtest/gtest.h>

#include <string>

namespace radishvane::tests
{

/// One step of a test that reads as a story; steps nest, and a failure names the path to it.
template<typename Body>
void section(const std::string &title, Body &&body)
{
    SCOPED_TRACE(title);
    body();
}

/// The situation that the sections of a test share.
template<typename Body>
void story(const std::string &title, Body &&body)
{
    section(title, body);
}

} // namespace radishvane::tests
