#include "fake_network.h"

namespace carobfall::stateful {
namespace {

/// Beyond this number the oldest delayed message is dropped.
constexpr std::size_t max_delayed_messages = 200;

call_fault take_first(std::deque<call_fault>& faults)
{
    if (faults.empty()) {
        return call_fault::none;
    }
    const call_fault first = faults.front();
    faults.pop_front();
    return first;
}

bool is_entry(const std::string& name)
{
    return name.starts_with("entry-");
}

} // namespace

void fake_network::plan_fault(call_fault fault, int skipped)
{
    faults_.insert(faults_.end(), static_cast<std::size_t>(skipped), call_fault::none);
    faults_.push_back(fault);
}

void fake_network::plan_entry_faults(call_fault fault, int count)
{
    entry_faults_.assign(static_cast<std::size_t>(count), fault);
}

void fake_network::clear_faults()
{
    faults_.clear();
    entry_faults_.clear();
    dead_hosts_refuse = true;
}

void fake_network::heal()
{
    cuts_.clear();
    isolated_.clear();
}

void fake_network::toggle_isolated(const std::string& name)
{
    if (!isolated_.insert(name).second) {
        isolated_.erase(name);
    }
}

call_fault fake_network::next_fault(const std::string& sender, const std::string& receiver)
{
    call_fault chosen = choose_fault ? choose_fault(sender, receiver) : call_fault::none;
    if (chosen == call_fault::none && is_entry(sender) && is_entry(receiver)) {
        chosen = take_first(entry_faults_);
    }
    return chosen == call_fault::none ? take_first(faults_) : chosen;
}

void fake_network::keep_delayed_message(const std::string& sender, const receiver& to,
                                        std::function<void()> deliver)
{
    delayed_messages_.push_back({sender, to, std::move(deliver)});
    if (delayed_messages_.size() > max_delayed_messages) {
        delayed_messages_.pop_front();
    }
}

void fake_network::deliver_delayed_message(std::size_t number)
{
    if (delayed_messages_.empty()) {
        return;
    }
    const auto chosen =
        delayed_messages_.begin() + static_cast<std::ptrdiff_t>(number % delayed_messages_.size());
    process_control* process = chosen->to.find();
    if (process != nullptr && (process->is_paused || is_cut(chosen->sender, chosen->to.name))) {
        return;
    }
    const delayed_message message = *chosen;
    delayed_messages_.erase(chosen);
    if (process != nullptr) {
        scheduler_.spawn(*process, message.deliver);
    }
}

void fake_network::drop_delayed_message(std::size_t number)
{
    if (!delayed_messages_.empty()) {
        delayed_messages_.erase(delayed_messages_.begin() +
                                static_cast<std::ptrdiff_t>(number % delayed_messages_.size()));
    }
}

} // namespace carobfall::stateful
