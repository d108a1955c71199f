#pragma once

#include <easylogging++.h>

// The logging library wants this once in each program.
INITIALIZE_EASYLOGGINGPP
