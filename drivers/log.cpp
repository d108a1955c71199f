#include "drivers/log.h"

#include <easylogging++.h>

#include <algorithm>
#include <iostream>

namespace radishvane::drivers
{

namespace
{

/// Sends each line to standard error, since the hosts have no disks and their standard output may be a report.
class StandardErrorSink : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData *data) override
    {
        el::LogBuilder *builder = data->logMessage()->logger()->logBuilder();
        const std::string line
            = builder->build(data->logMessage(), data->dispatchAction() == el::base::DispatchAction::NormalLog);
        std::cerr << line;
    }
};

el::Level toEasyLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return el::Level::Debug;
    case LogLevel::Info:
        return el::Level::Info;
    case LogLevel::Warning:
        return el::Level::Warning;
    case LogLevel::Error:
        return el::Level::Error;
    }
    return el::Level::Error;
}

LogLevel leastLevel = LogLevel::Info;

void appendField(std::string &line, const LogField &field)
{
    line += ' ';
    line += field.key;
    line += '=';
    const bool plain = !field.value.empty() && field.value.find_first_of(" \"\n=") == std::string::npos;
    if (plain) {
        line += field.value;
        return;
    }
    line += '"';
    for (const char letter : field.value) {
        line += letter == '"' || letter == '\n' ? '\'' : letter;
    }
    line += '"';
}

} // namespace

void startLog(LogLevel least)
{
    leastLevel = least;
    el::Configurations settings;
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    settings.setGlobally(el::ConfigurationType::Format, "%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level %msg");
    el::Loggers::reconfigureAllLoggers(settings);
    el::Helpers::installLogDispatchCallback<StandardErrorSink>("standard-error");
}

void logLine(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (level < leastLevel) {
        return;
    }
    std::string line(event);
    for (const LogField &field : fields) {
        appendField(line, field);
    }
    switch (toEasyLevel(level)) {
    case el::Level::Debug:
        LOG(DEBUG) << line;
        return;
    case el::Level::Warning:
        LOG(WARNING) << line;
        return;
    case el::Level::Error:
        LOG(ERROR) << line;
        return;
    default:
        LOG(INFO) << line;
        return;
    }
}

} // namespace radishvane::drivers
