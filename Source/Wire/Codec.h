/// Encodes Thrift structures as bytes and decodes them, for records in the store.
#pragma once

#include <algorithm>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace Plantainpier::Wire {

/// Encodes the structure in Thrift's compact protocol.
template <typename T> std::string encode(const T& value)
{
    const std::shared_ptr<apache::thrift::transport::TMemoryBuffer> buffer
        = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocol protocol(buffer);
    value.write(&protocol);
    return buffer->getBufferAsString();
}

/// Decodes a structure; returns nothing if the bytes are not a valid encoding of it.
template <typename T> std::optional<T> decode(const std::string& bytes)
{
    const std::shared_ptr<apache::thrift::transport::TMemoryBuffer> buffer
        = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    buffer->resetBuffer(
        reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data())), static_cast<std::uint32_t>(bytes.size()));
    // Every list element takes at least one byte. The limit prevents a corrupt element count from causing a huge
    // allocation.
    constexpr std::int32_t noStringLimit = 0;
    const std::int32_t maximumElements
        = static_cast<std::int32_t>(std::min<std::size_t>(bytes.size(), std::numeric_limits<std::int32_t>::max()));
    apache::thrift::protocol::TCompactProtocol protocol(buffer, noStringLimit, maximumElements);
    T value;
    try {
        value.read(&protocol);
    } catch (const std::exception&) {
        return std::nullopt;
    }
    return value;
}

} // namespace Plantainpier::Wire
