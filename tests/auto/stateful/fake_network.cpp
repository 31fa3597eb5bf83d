#include "fake_network.h"

namespace carobfall::stateful {
namespace {

/// Maximum number of late messages kept; the oldest are dropped first.
constexpr std::size_t max_late_messages = 200;

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
    hosts_refuse = true;
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

void fake_network::keep_for_late_delivery(const std::string& sender, const receiver& to,
                                          std::function<void()> deliver)
{
    late_.push_back({sender, to, std::move(deliver)});
    if (late_.size() > max_late_messages) {
        late_.pop_front();
    }
}

void fake_network::deliver_late(std::size_t number)
{
    if (late_.empty()) {
        return;
    }
    const auto chosen = late_.begin() + static_cast<std::ptrdiff_t>(number % late_.size());
    process_control* process = chosen->to.find();
    if (process != nullptr && (process->paused || is_cut(chosen->sender, chosen->to.name))) {
        return;
    }
    const late_message message = *chosen;
    late_.erase(chosen);
    if (process != nullptr) {
        scheduler_.spawn(*process, message.deliver);
    }
}

void fake_network::drop_late(std::size_t number)
{
    if (!late_.empty()) {
        late_.erase(late_.begin() + static_cast<std::ptrdiff_t>(number % late_.size()));
    }
}

} // namespace carobfall::stateful
