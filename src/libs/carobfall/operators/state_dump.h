#pragma once

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace carobfall {

/// Named parts of the process state, collected on request. Thread-safe.
class state_dump {
public:
    /// Called from request threads. Must not include payloads, results or tokens.
    using section = std::function<nlohmann::json()>;

    /// Adds or replaces a section.
    void add(std::string name, section collect);

    /// Returns all sections by name. A section that throws is reported as {"error": what}.
    [[nodiscard]] nlohmann::json collect() const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, section> sections_;
};

} // namespace carobfall
