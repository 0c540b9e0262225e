/// Maps enumerators to their names and back, with one table per enumeration.
#pragma once

#include <array>
#include <string_view>

namespace Plantainpier {

/// An enumerator and its name in logs, settings, answers and the platform's protocols.
template <typename Enum> struct NamedValue {
    Enum value;
    std::string_view name;
};
template <typename Enum> NamedValue(Enum, std::string_view) -> NamedValue<Enum>;

/// The name of a value; "unknown" if the value is not in the table, for example because a newer peer sent it.
template <typename Enum, std::size_t size>
constexpr std::string_view nameIn(const std::array<NamedValue<Enum>, size>& table, Enum value)
{
    for (const NamedValue<Enum>& row : table) {
        if (row.value == value)
            return row.name;
    }
    return "unknown";
}

/// The value with a name; null if the name is not in the table.
template <typename Enum, std::size_t size>
constexpr const Enum* valueIn(const std::array<NamedValue<Enum>, size>& table, std::string_view name)
{
    for (const NamedValue<Enum>& row : table) {
        if (row.name == name)
            return &row.value;
    }
    return nullptr;
}

} // namespace Plantainpier
