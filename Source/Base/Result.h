/// Result: either a value or a numbered error. Exceptions do not cross module boundaries.
#pragma once

#include "Base/ErrorCode.h"

#include <string>
#include <utility>
#include <variant>

namespace Plantainpier {

/// An error code and a message that names the invalid input, its location and how to correct it.
struct Error {
    ErrorCode code = ErrorCode::Internal;
    std::string message;
};

/// The value type of a Result without a value.
struct Success { };

template <typename T> using Result = std::variant<T, Error>;

template <typename T> bool isOk(const Result<T>& result) { return std::holds_alternative<T>(result); }

template <typename T> const T& valueOf(const Result<T>& result) { return std::get<T>(result); }

template <typename T> T takeValue(Result<T>&& result) { return std::get<T>(std::move(result)); }

template <typename T> const Error& errorOf(const Result<T>& result) { return std::get<Error>(result); }

/// Combines lambdas into one visitor for std::visit.
template <typename... Handlers> struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers> Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace Plantainpier
