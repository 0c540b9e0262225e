/// Results: either a value or a numbered error. Nothing of the project throws across a module's border.
#pragma once

#include "Base/ErrorCode.h"

#include <string>
#include <utility>
#include <variant>

namespace Plantainpier {

/// A numbered error with a text that names the input, the place and the way out.
struct Error {
    ErrorCode code = ErrorCode::Internal;
    std::string message;
};

/// The value of a function that returns nothing but may fail.
struct Success { };

template <typename T> using Result = std::variant<T, Error>;

template <typename T> bool isOk(const Result<T>& result) { return std::holds_alternative<T>(result); }

template <typename T> const T& valueOf(const Result<T>& result) { return std::get<T>(result); }

template <typename T> T takeValue(Result<T>&& result) { return std::get<T>(std::move(result)); }

template <typename T> const Error& errorOf(const Result<T>& result) { return std::get<Error>(result); }

/// Combines lambdas to one visitor for std::visit.
template <typename... Handlers> struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers> Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace Plantainpier
