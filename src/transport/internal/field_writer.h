/// Writes fields of protocol buffer messages straight into one string, without message objects in between.
#pragma once

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/wire_format_lite.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

namespace monsoonlift::transport::internal {

/// Counts bytes instead of writing them.
struct byte_count {
    std::size_t size = 0;

    void varint(std::uint64_t value) { size += google::protobuf::io::CodedOutputStream::VarintSize64(value); }
    void fixed(std::uint64_t /*value*/) { size += sizeof(std::uint64_t); }
    void text(std::string_view bytes) { size += bytes.size(); }
};

/// Appends bytes to a string.
struct byte_sink {
    std::string& bytes;

    void varint(std::uint64_t value) {
        constexpr std::uint64_t more = 0x80;
        constexpr unsigned bits_per_group = 7;
        for (; value >= more; value >>= bits_per_group) {
            bytes.push_back(static_cast<char>(value | more));
        }
        bytes.push_back(static_cast<char>(value));
    }
    void fixed(std::uint64_t value) {
        constexpr unsigned bits_per_byte = 8;
        for (std::size_t index = 0; index < sizeof(value); ++index) {
            bytes.push_back(static_cast<char>(value >> (bits_per_byte * index)));
        }
    }
    void text(std::string_view added) { bytes.append(added); }
};

/// Writes the fields of one message. They are written in the order of the calls; the order of their numbers
/// gives the bytes that the generated classes give.
template <class Output> class field_writer {
public:
    explicit field_writer(Output& output) : m_output(output) {}

    /// Writes an integer; zero, the default, is left out.
    void number(int field, std::uint64_t value) {
        if (value != 0) {
            present_number(field, value);
        }
    }

    /// Writes an integer whose presence tells something.
    void present_number(int field, std::uint64_t value) {
        tag(field, wire_format::WIRETYPE_VARINT);
        m_output.varint(value);
    }

    /// Writes an integer of eight bytes; zero is left out.
    void fixed(int field, std::uint64_t value) {
        if (value != 0) {
            tag(field, wire_format::WIRETYPE_FIXED64);
            m_output.fixed(value);
        }
    }

    /// Writes bytes; empty ones are left out.
    void text(int field, std::string_view bytes) {
        if (!bytes.empty()) {
            tag(field, wire_format::WIRETYPE_LENGTH_DELIMITED);
            m_output.varint(bytes.size());
            m_output.text(bytes);
        }
    }

    /// Writes a message whose fields `fill` writes to the field_writer that it is passed.
    template <class Fill> void message(int field, const Fill& fill) {
        byte_count counted;
        field_writer<byte_count> counter(counted);
        fill(counter);
        tag(field, wire_format::WIRETYPE_LENGTH_DELIMITED);
        m_output.varint(counted.size);
        if constexpr (std::is_same_v<Output, byte_count>) {
            m_output.size += counted.size;
        } else {
            fill(*this);
        }
    }

private:
    using wire_format = google::protobuf::internal::WireFormatLite;

    void tag(int field, wire_format::WireType type) { m_output.varint(wire_format::MakeTag(field, type)); }

    Output& m_output;
};

/// Returns what `fill` writes to the field_writer that it is passed, after `room` zero bytes. Allocates once.
template <class Fill> std::string written(std::size_t room, const Fill& fill) {
    byte_count counted;
    field_writer<byte_count> counter(counted);
    fill(counter);
    std::string bytes;
    bytes.reserve(room + counted.size);
    bytes.resize(room);
    byte_sink sink{bytes};
    field_writer<byte_sink> target(sink);
    fill(target);
    return bytes;
}

} // namespace monsoonlift::transport::internal
