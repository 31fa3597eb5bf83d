#include "carobfall/jobs/operator_state_provider.h"

#include "carobfall/jobs/state_transfer_bounds.h"

namespace carobfall {

operator_state_provider::operator_state_provider(const operator_view& view) : view_(view) {}

bool operator_state_provider::admit(peer_number peer, absl::Time now)
{
    std::erase_if(receivers_, [now](const auto& receiver) {
        return now - receiver.second >= state_part_timeout;
    });
    if (!receivers_.contains(peer) && receivers_.size() >= max_state_receivers) {
        return false;
    }
    receivers_[peer] = now;
    return true;
}

fleet::state_part operator_state_provider::answer(peer_number peer,
                                                  const fleet::state_request& request,
                                                  absl::Time now)
{
    fleet::state_part part;
    part.set_version(view_.stamp().version);
    part.set_digest(view_.stamp().digest);
    const std::string& content = view_.content();
    const bool continues = request.digest() == part.digest() && request.offset() < content.size();
    const std::size_t offset = continues ? request.offset() : 0;
    part.set_offset(static_cast<std::uint32_t>(offset));
    if (!admit(peer, now)) {
        part.set_refused(true);
        return part;
    }
    part.set_size(static_cast<std::uint32_t>(content.size()));
    part.set_content(content.substr(offset, state_part_bytes));
    if (offset + part.content().size() == content.size()) {
        receivers_.erase(peer);
    }
    return part;
}

} // namespace carobfall
