#include "tools/digest.h"

#include <array>
#include <new>

#include <openssl/evp.h>

namespace monsoonlift::tools {

struct digest::state {
    EVP_MD_CTX* context = nullptr;
};

digest::digest() : m_state(std::make_unique<state>()) {
    m_state->context = EVP_MD_CTX_new();
    if (m_state->context == nullptr || EVP_DigestInit_ex(m_state->context, EVP_sha256(), nullptr) != 1) {
        throw std::bad_alloc();
    }
}

digest::~digest() {
    EVP_MD_CTX_free(m_state->context);
}

void digest::update(std::span<const char> bytes) {
    EVP_DigestUpdate(m_state->context, bytes.data(), bytes.size());
}

std::string digest::finish() {
    constexpr std::string_view digits = "0123456789abcdef";
    std::array<unsigned char, EVP_MAX_MD_SIZE> value{};
    unsigned int length = 0;
    EVP_DigestFinal_ex(m_state->context, value.data(), &length);
    std::string text;
    for (unsigned int i = 0; i < length; ++i) {
        text.push_back(digits[value[i] >> 4U]);
        text.push_back(digits[value[i] & 15U]);
    }
    return text;
}

std::string digest_of(std::span<const char> bytes) {
    digest stream;
    stream.update(bytes);
    return stream.finish();
}

} // namespace monsoonlift::tools
