#pragma once

#include <string>
#include <variant>
#include <vector>

namespace radishvane
{

/// Place of a value in an operator's file; line and column count from 1.
struct Position
{
    std::string file;
    int line = 0;
    int column = 0;
};

struct Node;
struct MappingField;

/// A value as written.
using Scalar = std::string;

struct Sequence
{
    std::vector<Node> items;
};

struct Mapping
{
    std::vector<MappingField> fields;
};

/// One node of a parsed file, free of the syntax it was written in.
struct Node
{
    Position at;
    std::variant<std::monostate, Scalar, Sequence, Mapping> value;
};

/// One named value of a mapping.
struct MappingField
{
    std::string name;
    Node value;
};

/// One parsed file of a set.
struct Document
{
    std::string file;
    Node root;
};

} // namespace radishvane
