#pragma once

#include "cooperative_scheduler.h"

#include "carobfall/base/error.h"

#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace carobfall::stateful {

/// Fault injected into a call.
enum class call_fault { none, lose_request, lose_answer, duplicate, delay };

/// Simulated network: calls processes by direct invocation and injects faults. Not thread-safe;
/// used only by the thread that the scheduler runs.
class fake_network {
public:
    /// Address of a process, resolved at each delivery.
    struct receiver {
        std::string name;
        /// The process that currently listens there; null if there is none.
        std::function<process_control*()> find;
    };

    explicit fake_network(cooperative_scheduler& scheduler) : scheduler_(scheduler) {}

    /// Calls `deliver`, which returns nothing if the receiver refuses the call. Depending on the
    /// fault, a copy of the request is kept as a delayed message, which `deliver_delayed_message`
    /// delivers later. Errors: `unavailable` if the call neither had nor will have an effect,
    /// otherwise `outcome_unknown`.
    template <typename Reply>
    result<Reply> call(process_control& from, const std::string& sender, const receiver& to,
                       const std::function<std::optional<Reply>()>& deliver)
    {
        scheduler_.yield(from);
        if (from.is_dead || to.find() == nullptr) {
            return unreachable();
        }
        if (is_cut(sender, to.name)) {
            return refuse_cut_calls ? result<Reply>(unreachable()) : result<Reply>(lost());
        }
        const call_fault fault = next_fault(sender, to.name);
        if (to.find()->is_paused || fault == call_fault::delay || fault == call_fault::duplicate) {
            keep_delayed_message(sender, to, [deliver] { (void)deliver(); });
        }
        if (to.find()->is_paused || fault == call_fault::delay ||
            fault == call_fault::lose_request) {
            return lost();
        }
        process_control* const process = to.find();
        std::optional<Reply> reply = deliver();
        scheduler_.yield(from);
        if (from.is_dead) {
            return lost();
        }
        if (!reply) {
            return unreachable();
        }
        if (fault == call_fault::lose_answer || process->is_dead || process->is_paused ||
            is_cut(sender, to.name)) {
            return lost();
        }
        return *std::move(reply);
    }

    /// Calls the process that `find` returns as a shared pointer; null if nothing listens there.
    template <typename Reply, typename Find, typename Action>
    result<Reply> call_process(process_control& from, const std::string& sender,
                               const std::string& name, const Find& find, const Action& action)
    {
        const receiver to{name, [find]() -> process_control* {
                              const auto process = find();
                              return process == nullptr ? nullptr : &process->control;
                          }};
        return call<Reply>(from, sender, to, [find, action]() -> std::optional<Reply> {
            const auto process = find();
            return process == nullptr ? std::nullopt : std::optional<Reply>(action(*process));
        });
    }

    void cut(const std::string& left, const std::string& right)
    {
        cut_one_way(left, right);
        cut_one_way(right, left);
    }
    /// Loses calls from `from` to `to`; calls in the other direction are delivered.
    void cut_one_way(const std::string& from, const std::string& to) { cuts_.insert({from, to}); }
    /// Isolates the process from all others, or ends its isolation.
    void toggle_isolated(const std::string& name);
    /// Ends all cuts and isolations.
    void heal();
    [[nodiscard]] bool is_cut(const std::string& from, const std::string& to) const
    {
        return cuts_.contains({from, to}) || isolated_.contains(from) || isolated_.contains(to);
    }
    /// Injects the fault into one call, after `skipped` calls without this fault.
    void plan_fault(call_fault fault, int skipped);
    /// Injects the fault into the next `count` calls between entries.
    void plan_entry_faults(call_fault fault, int count);
    void clear_faults();

    /// Delivers the delayed message with this number, modulo their count. Keeps the message if its
    /// receiver is paused or unreachable.
    void deliver_delayed_message(std::size_t number);
    /// Removes a delayed message without delivery.
    void drop_delayed_message(std::size_t number);
    [[nodiscard]] std::size_t delayed_message_count() const { return delayed_messages_.size(); }

    /// Calls over a cut connection fail with `unavailable` instead of `outcome_unknown`.
    bool refuse_cut_calls{false};
    /// Addresses of dead entries refuse connections.
    bool dead_hosts_refuse{true};
    /// Selects the fault of a call in directed tests; takes precedence over planned faults.
    std::function<call_fault(const std::string& sender, const std::string& receiver)> choose_fault;

private:
    struct delayed_message {
        std::string sender;
        receiver to;
        std::function<void()> deliver;
    };

    static boost::outcome_v2::failure_type<error> unreachable()
    {
        return failure(error_kind::unavailable, "the call was not sent", "wait");
    }
    static boost::outcome_v2::failure_type<error> lost()
    {
        return failure(error_kind::outcome_unknown, "no reply to the call", "ask");
    }
    call_fault next_fault(const std::string& sender, const std::string& receiver);
    void keep_delayed_message(const std::string& sender, const receiver& to,
                              std::function<void()> deliver);

    cooperative_scheduler& scheduler_;
    std::set<std::pair<std::string, std::string>> cuts_; ///< sender and receiver
    std::set<std::string> isolated_;
    std::deque<call_fault> faults_;
    std::deque<call_fault> entry_faults_;
    std::deque<delayed_message> delayed_messages_;
};

} // namespace carobfall::stateful
