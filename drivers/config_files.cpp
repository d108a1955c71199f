#include "drivers/config_files.h"

#include "core/config/config_reader.h"
#include "drivers/json_codec.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace radishvane::drivers
{

namespace
{

ConfigProblem problemOf(const std::string &file, const std::string &message)
{
    return ConfigProblem{ConfigProblemKind::MissingFile, Position{file, 0, 0}, "", "", message};
}

} // namespace

Result<std::vector<FileText>, ConfigProblem> readFolder(const std::string &folder)
{
    std::error_code error;
    std::vector<FileText> files;
    std::size_t bytes = 0;
    for (const auto &entry : std::filesystem::directory_iterator(folder, error)) {
        if (entry.path().extension() != ".yaml") {
            continue;
        }
        std::ifstream stream(entry.path(), std::ios::binary);
        if (!stream) {
            return problemOf(entry.path().filename().string(), "cannot be read");
        }
        FileText file{entry.path().filename().string(), std::string(std::istreambuf_iterator<char>(stream), {})};
        bytes += file.text.size();
        files.push_back(std::move(file));
    }
    if (error) {
        return problemOf(folder, error.message());
    }
    if (bytes > mostConfigBytes) {
        return problemOf(folder,
                         "holds " + std::to_string(bytes) + " bytes; the limit is " + std::to_string(mostConfigBytes));
    }
    std::sort(files.begin(), files.end(),
              [](const FileText &left, const FileText &right) { return left.name < right.name; });
    return files;
}

std::string packFiles(const std::vector<FileText> &files)
{
    nlohmann::json packed = nlohmann::json::array();
    for (const FileText &file : files) {
        packed.push_back({{"name", file.name}, {"text", file.text}});
    }
    return writeJson(packed);
}

Result<Config, std::vector<ConfigProblem>> checkFiles(const std::vector<FileText> &files)
{
    auto documents = parseYamlSet(files);
    if (!documents) {
        return documents.error();
    }
    return readConfig(documents.value());
}

Result<Config, std::vector<ConfigProblem>> readPacked(const std::string &packed)
{
    const nlohmann::json json = parseJson(packed).value_or(nlohmann::json());
    if (!json.is_array()) {
        return std::vector<ConfigProblem>{problemOf("packed set", "is not a list of files")};
    }
    std::vector<FileText> files;
    for (const auto &file : json) {
        if (!file.is_object() || !file.contains("name") || !file["name"].is_string() || !file.contains("text")
            || !file["text"].is_string()) {
            return std::vector<ConfigProblem>{problemOf("packed set", "holds an entry that is no file")};
        }
        files.push_back({file.value("name", ""), file.value("text", "")});
    }
    return checkFiles(files);
}

} // namespace radishvane::drivers
