#include "drivers/yaml_documents.h"

#include <yaml-cpp/yaml.h>

namespace radishvane::drivers
{

namespace
{

Position positionOf(const std::string &file, const YAML::Mark &mark)
{
    // The library counts from 0 and gives -1 for "unknown".
    return Position{file, mark.line + 1, mark.column + 1};
}

Node convert(const std::string &file, const YAML::Node &yaml)
{
    Node node;
    node.at = positionOf(file, yaml.Mark());
    switch (yaml.Type()) {
    case YAML::NodeType::Undefined:
    case YAML::NodeType::Null:
        break;
    case YAML::NodeType::Scalar:
        node.value = yaml.Scalar();
        break;
    case YAML::NodeType::Sequence: {
        Sequence sequence;
        for (const YAML::Node &item : yaml) {
            sequence.items.push_back(convert(file, item));
        }
        node.value = std::move(sequence);
        break;
    }
    case YAML::NodeType::Map: {
        Mapping mapping;
        for (const auto &entry : yaml) {
            mapping.fields.push_back({entry.first.Scalar(), convert(file, entry.second)});
        }
        node.value = std::move(mapping);
        break;
    }
    }
    return node;
}

} // namespace

Result<Document, ConfigProblem> parseYaml(const FileText &file)
{
    try {
        Document document{file.name, convert(file.name, YAML::Load(file.text))};
        if (std::holds_alternative<std::monostate>(document.root.value)) {
            // An empty file declares nothing.
            document.root.value = Mapping{};
        }
        return document;
    } catch (const YAML::Exception &error) {
        return ConfigProblem{ConfigProblemKind::Syntax, positionOf(file.name, error.mark), "", "", error.msg};
    }
}

Result<std::vector<Document>, std::vector<ConfigProblem>> parseYamlSet(const std::vector<FileText> &files)
{
    std::vector<Document> documents;
    std::vector<ConfigProblem> problems;
    for (const FileText &file : files) {
        auto document = parseYaml(file);
        if (document) {
            documents.push_back(std::move(document).value());
        } else {
            problems.push_back(std::move(document).error());
        }
    }
    if (!problems.empty()) {
        return problems;
    }
    return documents;
}

} // namespace radishvane::drivers
