// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <string>
#include <string_view>
#include <vector>

using namespace std::string_literals;

/// An answer as a backend server sends it, byte by byte.
struct SentAnswer {
    char const* name;
    std::string bytes;
};

/// An answer of five bytes with a field of the test's choice.
inline std::string with_field(std::string const& line)
{
    return "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 5\r\n\r\nhello";
}

inline std::string with_start(std::string const& line)
{
    return line + "\r\nContent-Length: 5\r\n\r\nhello";
}

inline std::string with_framing(std::string const& fields)
{
    return "HTTP/1.1 200 OK\r\n" + fields + "\r\n\r\nhello";
}

inline std::string with_chunks(std::string const& chunks)
{
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks;
}

/// Answers that RFC 9112 does not allow.
inline std::vector<SentAnswer> malformed_answers()
{
    return {
        { "status_000", with_start("HTTP/1.1 000 OK") },
        { "status_001", with_start("HTTP/1.1 001 OK") },
        { "status_099", with_start("HTTP/1.1 099 OK") },
        { "status_600", with_start("HTTP/1.1 600 OK") },
        { "status_999", with_start("HTTP/1.1 999 OK") },
        { "status_of_two_digits", with_start("HTTP/1.1 20 OK") },
        { "status_of_four_digits", with_start("HTTP/1.1 0200 OK") },
        { "status_1000", with_start("HTTP/1.1 1000 OK") },
        { "status_with_sign", with_start("HTTP/1.1 +200 OK") },
        { "negative_status", with_start("HTTP/1.1 -200 OK") },
        { "status_with_letters", with_start("HTTP/1.1 2xx OK") },
        { "status_without_space", with_start("HTTP/1.1 200OK") },
        { "no_status", with_start("HTTP/1.1") },
        { "empty_status", with_start("HTTP/1.1  OK") },
        { "two_spaces", with_start("HTTP/1.1  200 OK") },
        { "tab_before_status", with_start("HTTP/1.1\t200 OK") },
        { "control_byte_in_reason", with_start("HTTP/1.1 200 O\x01K") },
        { "nul_in_reason", with_start("HTTP/1.1 200 O\0K"s) },
        { "version_0_9", with_start("HTTP/0.9 200 OK") },
        { "version_2_0", with_start("HTTP/2.0 200 OK") },
        { "version_9_9", with_start("HTTP/9.9 200 OK") },
        { "version_1_10", with_start("HTTP/1.10 200 OK") },
        { "version_1", with_start("HTTP/1 200 OK") },
        { "lower_case_version", with_start("http/1.1 200 OK") },
        { "other_protocol", with_start("ICY 200 OK") },
        { "empty_start_line", "\r\n" + with_start("HTTP/1.1 200 OK") },
        { "blank_in_name", with_field("X Odd: 1") },
        { "blank_in_length", with_framing("Content Length: 5\r\nConnection: close") },
        { "blank_in_coding", with_field("Transfer Encoding: chunked") },
        { "blank_in_connection", with_field("Connection X: close") },
        { "blank_before_colon", with_field("X-Odd : 1") },
        { "tab_before_colon", with_field("X-Odd\t: 1") },
        { "tab_in_name", with_field("X\tOdd: 1") },
        { "control_byte_in_name", with_field("X\x01Odd: 1") },
        { "nul_in_name", with_field("X\0Odd: 1"s) },
        { "escape_in_name", with_field("X\x1bOdd: 1") },
        { "delete_in_name", with_field("X\x7fOdd: 1") },
        { "eight_bits_in_name", with_field("X\xe9Odd: 1") },
        { "quotes_in_name", with_field("\"X-Odd\": 1") },
        { "bracket_in_name", with_field("X(Odd): 1") },
        { "empty_name", with_field(": 1") },
        { "no_colon", with_field("X-Odd") },
        { "folded_line", with_field("X-Odd: 1\r\n 2") },
        { "blank_before_first_field", with_field(" X-Odd: 1") },
        { "nul_in_value", with_field("X-Odd: a\0b"s) },
        { "control_byte_in_value", with_field("X-Odd: a\x02"
                                              "b") },
        { "delete_in_value", with_field("X-Odd: a\x7f"
                                        "b") },
        { "carriage_return_in_value", with_field("X-Odd: a\rb") },
        { "line_feed_in_value", with_field("X-Odd: a\nb") },
        { "bare_line_feeds", "HTTP/1.1 200 OK\nContent-Length: 5\n\nhello" },
        { "two_lengths", with_framing("Content-Length: 3\r\nContent-Length: 5") },
        { "the_same_length_twice", with_framing("Content-Length: 5\r\nContent-Length: 5") },
        { "list_of_lengths", with_framing("Content-Length: 5, 5") },
        { "length_with_sign", with_framing("Content-Length: +5") },
        { "negative_length", with_framing("Content-Length: -5") },
        { "length_with_letters", with_framing("Content-Length: 5a") },
        { "hexadecimal_length", with_framing("Content-Length: 0x5") },
        { "empty_length", with_framing("Content-Length:") },
        { "length_past_64_bits", with_framing("Content-Length: 18446744073709551621") },
        { "length_and_chunks", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n" },
        { "other_coding", with_framing("Transfer-Encoding: identity") },
        { "list_of_codings", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n" },
        { "control_byte_in_coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: \x0b"
                                    "chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n" },
        { "chunks_of_http_1_0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n" },
        { "chunk_size_with_sign", with_chunks("+5\r\nhello\r\n0\r\n\r\n") },
        { "chunk_size_with_prefix", with_chunks("0x5\r\nhello\r\n0\r\n\r\n") },
        { "chunk_size_of_other_letters", with_chunks("5g\r\nhello\r\n0\r\n\r\n") },
        { "chunk_size_with_blank_before", with_chunks(" 5\r\nhello\r\n0\r\n\r\n") },
        { "chunk_size_with_blank_behind", with_chunks("5 \r\nhello\r\n0\r\n\r\n") },
        { "empty_chunk_size", with_chunks("\r\nhello\r\n0\r\n\r\n") },
        { "chunk_size_past_64_bits", with_chunks("10000000000000005\r\nhello\r\n0\r\n\r\n") },
        { "chunk_size_ends_in_line_feed", with_chunks("5\nhello\r\n0\r\n\r\n") },
        { "chunk_without_end", with_chunks("5\r\nhelloxx0\r\n\r\n") },
        { "chunk_ends_in_line_feed", with_chunks("5\r\nhello\n0\r\n\r\n") },
        { "chunk_longer_than_stated", with_chunks("4\r\nhello\r\n0\r\n\r\n") },
        { "control_byte_in_extension", with_chunks("5;a=\x01\r\nhello\r\n0\r\n\r\n") },
        { "extension_without_name", with_chunks("5;=1\r\nhello\r\n0\r\n\r\n") },
        { "blank_in_trailer_name", with_chunks("5\r\nhello\r\n0\r\nX Odd: 1\r\n\r\n") },
        { "control_byte_in_trailer_value", with_chunks("5\r\nhello\r\n0\r\nX-Odd: \x01\r\n\r\n") },
        { "trailer_without_colon", with_chunks("5\r\nhello\r\n0\r\nX-Odd\r\n\r\n") },
        { "trailer_ends_in_line_feed", with_chunks("5\r\nhello\r\n0\r\nX-Odd: 1\n\r\n") },
        { "switch_of_protocols", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n" + with_start("HTTP/1.1 200 OK") },
        { "malformed_interim_answer", "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n" + with_start("HTTP/1.1 200 OK") },
        { "malformed_behind_interim_answer", "HTTP/1.1 100 Continue\r\n\r\n" + with_start("HTTP/1.1 000 OK") },
    };
}

/// Answers that RFC 9112 allows; each is a 200 with the body "hello".
inline std::vector<SentAnswer> allowed_answers()
{
    return {
        { "plain", with_start("HTTP/1.1 200 OK") },
        { "no_reason", with_start("HTTP/1.1 200 ") },
        { "no_space_before_absent_reason", with_start("HTTP/1.1 200") },
        { "reason_with_eight_bits", with_start("HTTP/1.1 200 \xc3\xa9t\xc3\xa9") },
        { "reason_with_blanks", with_start("HTTP/1.1 200 All is\twell") },
        { "version_1_0", with_start("HTTP/1.0 200 OK") },
        { "higher_minor_version", with_start("HTTP/1.2 200 OK") },
        { "empty_value", with_field("X-Empty:") },
        { "blanks_around_value", with_field("X-Blanks: \t a b \t ") },
        { "no_blank_before_value", with_field("X-Field:1") },
        { "eight_bits_in_value", with_field("X-Field: \xe9\xff") },
        { "all_token_bytes_in_name", with_field("!#$%&'*+-.^_`|~09AZaz: 1") },
        { "length_with_zeros", with_framing("Content-Length: 0005") },
        { "lower_case_names", with_framing("content-length: 5") },
        { "upper_case_coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: CHUNKED\r\n\r\n5\r\nhello\r\n0\r\n\r\n" },
        { "chunks", with_chunks("2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n") },
        { "chunk_size_with_zeros", with_chunks("0005\r\nhello\r\n000\r\n\r\n") },
        { "chunk_extensions", with_chunks("5;a;b=1;c=\"x\\\" ;y\"\r\nhello\r\n0;last\r\n\r\n") },
        { "blanks_around_extensions", with_chunks("5 ; a = 1\r\nhello\r\n0\r\n\r\n") },
        { "trailers", with_chunks("5\r\nhello\r\n0\r\nX-Sum: 1\r\nX-Empty:\r\n\r\n") },
        { "continue_before", "HTTP/1.1 100 Continue\r\n\r\n" + with_start("HTTP/1.1 200 OK") },
        { "early_hints_before", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + with_start("HTTP/1.1 200 OK") },
        { "several_interim_answers", "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 100 Continue\r\nX-Field: 1\r\n\r\nHTTP/1.1 199 X\r\n\r\n" + with_start("HTTP/1.1 200 OK") },
    };
}
