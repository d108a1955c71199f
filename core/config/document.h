#pragma once

#include <string>
#include <variant>
#include <vector>

namespace radishvane
{

/// Position of a value in a configuration file; line and column start at 1.
struct Position
{
    std::string file;
    int line = 0;
    int column = 0;
};

struct Node;
struct MappingField;

/// The text of a value, not yet converted.
using Scalar = std::string;

struct Sequence
{
    std::vector<Node> items;
};

struct Mapping
{
    std::vector<MappingField> fields;
};

/// A node of a parsed file, independent of the file's syntax; std::monostate is an empty value.
struct Node
{
    Position at;
    std::variant<std::monostate, Scalar, Sequence, Mapping> value;
};

/// A named value in a mapping.
struct MappingField
{
    std::string name;
    Node value;
};

/// A parsed file of the set.
struct Document
{
    std::string file;
    Node root;
};

} // namespace radishvane
