#pragma once

#include "carobfall/base/log_fields.h"
#include "carobfall/fleet/fleet.pb.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace carobfall {

/// Which decisions of operators a process holds. Frames carry it to the peers.
struct operator_knowledge {
    std::uint64_t version{0}; ///< of the store when the decisions were read
    std::uint64_t digest{0};  ///< of the decisions; the version grows also when they stay the same

    /// Takes over what a frame of the process says, if it is later.
    void update(const operator_knowledge& told)
    {
        if (told.version > version) {
            *this = told;
        }
    }
};

template <typename Frame>
operator_knowledge knowledge_of(const Frame& frame)
{
    return {frame.operator_version(), frame.operator_digest()};
}

template <typename Frame>
void set_knowledge(Frame& frame, const operator_knowledge& knowledge)
{
    frame.set_operator_version(knowledge.version);
    frame.set_operator_digest(knowledge.digest);
}

/// What operators have decided, as far as this process knows. Only a later version replaces what is
/// held, whoever delivers it: the store, or another process that the store still answers.
class operator_view {
public:
    using listener = std::function<void()>;

    /// False if `state` is no later than the one held, or decides the same.
    bool adopt(fleet::operator_state state);
    /// Takes over what a peer knows to be later, if it holds the same decisions.
    void confirm(const operator_knowledge& peer);
    /// Whether a peer that holds `peer` has to be told of the decisions held here. A later version
    /// with the same decisions is no news: after a restart of many processes each reads the store
    /// at another version, and all of them would be passed on to all.
    [[nodiscard]] bool is_news_for(const operator_knowledge& peer) const;
    /// Log line on the state that was adopted last.
    [[nodiscard]] log_fields adopted_from(std::string_view source) const;
    /// Gauges, a line each.
    [[nodiscard]] std::string state_text() const;
    void on_change(listener changed) { listeners_.push_back(std::move(changed)); }

    [[nodiscard]] const fleet::operator_state& state() const { return state_; }
    [[nodiscard]] std::uint64_t version() const { return state_.version(); }
    [[nodiscard]] operator_knowledge knowledge() const { return {state_.version(), digest_}; }
    [[nodiscard]] bool has_configuration() const { return state_.configuration_version() > 0; }
    [[nodiscard]] bool is_out(std::string_view data_centre) const;
    /// The route with the longest prefix that `path` begins with. Null if there is none.
    [[nodiscard]] const fleet::route* find_route(std::string_view host,
                                                 std::string_view path) const;

private:
    void index_routes();

    fleet::operator_state state_;
    std::uint64_t digest_{0};
    // Positions in `state_.routes()`, longest prefix first.
    absl::flat_hash_map<std::string, std::vector<int>> routes_by_host_;
    std::vector<listener> listeners_;
};

} // namespace carobfall
