#include "../support/fake_table_service.h"
#include "../support/fuzz.h"
#include "carobfall/config/configuration_builder.h"
#include "carobfall/platform/configuration_store.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

using namespace carobfall;
using namespace carobfall::testing;

namespace {

enum class fault { none, outage, lost_answer, lost_commit, late_commit, throttling };

/// One operator's request, the fault injected into it, and when another request interrupts it.
struct request_plan {
    int data_centre{0};
    int content{0}; ///< data centre: 0 in, 1 out, 2 row deleted
    bool expects_version{false};
    fault injected_fault{fault::none};
    int fault_at{0};        ///< table operation of the request before which the fault begins
    int outage_at{0};       ///< table operation before which an outage begins; high: no outage
    int next_request_at{0}; ///< table operation before which the next request runs
    bool repeated{false};   ///< repeat the call after an unknown outcome
};

void showValue(const request_plan& plan, std::ostream& stream)
{
    stream << "{dc" << plan.data_centre << "=" << plan.content << " expects "
           << plan.expects_version << " fault " << static_cast<int>(plan.injected_fault) << "@"
           << plan.fault_at << " outage@" << plan.outage_at << " next@" << plan.next_request_at
           << " repeated " << plan.repeated << "}";
}

rc::Gen<request_plan> any_plan()
{
    using rc::gen::inRange;
    // inRange scales its range with the size, which would make almost all plans equal.
    return rc::gen::resize(
        rc::kNominalSize,
        rc::gen::build<request_plan>(
            rc::gen::set(&request_plan::data_centre, inRange(0, 3)),
            rc::gen::set(&request_plan::content, inRange(0, 3)),
            rc::gen::set(&request_plan::expects_version),
            rc::gen::set(&request_plan::injected_fault,
                         rc::gen::map(inRange(0, 6), [](int value) { return fault(value); })),
            rc::gen::set(&request_plan::fault_at, inRange(1, 9)),
            rc::gen::set(&request_plan::outage_at, inRange(1, 20)),
            rc::gen::set(&request_plan::next_request_at, inRange(1, 12)),
            rc::gen::set(&request_plan::repeated)));
}

/// Runs the requests nested within each other and records the outcomes returned to the operators.
class race {
public:
    explicit race(std::vector<request_plan> plans) : plans_(std::move(plans))
    {
        table_.set_hook([this](table_operation, std::string_view key) { before_operation(key); });
    }

    void run()
    {
        while (next_ < plans_.size()) {
            run_next();
            table_.release_commits();
            check_readers();
        }
        check_outcome();
    }

private:
    struct request_record {
        configuration_change_set request;
        std::uint64_t base{0};            ///< version that the request builds on
        bool earlier_call_unknown{false}; ///< an earlier call of the request had an unknown outcome
        std::optional<result<std::uint64_t>> outcome;
    };

    struct running_request {
        request_plan plan;
        int operations{0};
        std::optional<std::uint64_t> first_read; ///< version that the call read first
    };

    static constexpr std::size_t max_depth = 3; // concurrent operators
    static constexpr int outage_operations = 9; // longer than the attempts of one call

    void run_next()
    {
        const std::size_t index = next_++;
        const request_plan plan = plans_[index];
        rpc::configuration_change change =
            data_centre_change("dc" + std::to_string(plan.data_centre), plan.content == 1);
        change.set_deleted(plan.content == 2);
        request_record record;
        record.base = head();
        record.request = {{change}, "c" + std::to_string(index), std::nullopt};
        if (plan.expects_version) {
            record.request.expected_version = record.base;
        }
        running_.push_back({plan, 0, std::nullopt});
        record.outcome = store_.apply(record.request);
        if (plan.repeated && !*record.outcome &&
            record.outcome->error().kind == error_kind::outcome_unknown) {
            running_.back().first_read.reset();
            record.earlier_call_unknown = true;
            record.outcome = store_.apply(record.request);
        }
        if (!plan.expects_version) {
            record.base = running_.back().first_read.value_or(record.base);
        }
        running_.pop_back();
        records_.push_back(std::move(record));
    }

    void before_operation(std::string_view key)
    {
        const std::uint64_t present = head();
        RC_ASSERT(present >= highest_head_);
        highest_head_ = present;
        if (outage_left_ > 0 && --outage_left_ == 0) {
            table_.set_outage(false);
        }
        if (running_.empty()) {
            return;
        }
        // A call reads the head and then its change id.
        if (key.starts_with(change_record_key("")) && !running_.back().first_read) {
            running_.back().first_read = present;
        }
        const running_request top = running_.back();
        ++running_.back().operations;
        if (top.operations + 1 == top.plan.fault_at) {
            inject_fault(top.plan.injected_fault);
        }
        if (top.operations + 1 == top.plan.outage_at) {
            begin_outage();
        }
        if (top.operations + 1 == top.plan.next_request_at && running_.size() < max_depth &&
            next_ < plans_.size()) {
            run_next();
            table_.release_commits();
        }
    }

    void inject_fault(fault injected_fault)
    {
        table_.lose_answers(injected_fault == fault::lost_answer ? 1 : 0);
        table_.lose_commits(injected_fault == fault::lost_commit ? 2 : 0);
        table_.delay_commits(injected_fault == fault::late_commit ? 1 : 0);
        table_.throttle(injected_fault == fault::throttling ? 2 : 0);
        if (injected_fault == fault::outage) {
            begin_outage();
        }
    }

    void begin_outage()
    {
        outage_left_ = outage_operations;
        table_.set_outage(true);
    }

    /// Checks that readers without faults have exactly the state given by the log.
    void check_readers()
    {
        inject_fault(fault::none);
        outage_left_ = 0;
        table_.set_outage(false);
        const std::uint64_t before = follower_.version();
        RC_ASSERT(follower_.apply(store_.changes_since(before).value()).has_value());
        RC_ASSERT(follower_.version() == head());
        configuration_builder loaded;
        RC_ASSERT(loaded.apply(store_.load().value()).has_value());
        const auto out = state_at(head());
        for (const configuration_builder* reader : {&follower_, &loaded}) {
            const configuration_ptr built = reader->build();
            std::set<std::string> out_at_reader;
            for (const std::string& name : built->data_centres_out) {
                out_at_reader.insert("data_centre/" + name);
            }
            RC_ASSERT(out_at_reader == out);
        }
    }

    /// Keys of the data centres that are out at a version, according to the log.
    std::set<std::string> state_at(std::uint64_t version)
    {
        std::set<std::string> out;
        for (std::uint64_t v = 1; v <= version; ++v) {
            const rpc::configuration_change change = log_at(v);
            if (!change.deleted() && change.value() == data_centre_out) {
                out.insert(change.key());
            } else {
                out.erase(change.key());
            }
        }
        return out;
    }

    rpc::configuration_change log_at(std::uint64_t version)
    {
        const auto rows = table_.rows();
        const auto row = rows.find(configuration_log_key(version));
        RC_ASSERT(row != rows.end());
        return decode_change(row->second).value();
    }

    std::uint64_t head()
    {
        const auto rows = table_.rows();
        const auto row = rows.find(configuration_head_key);
        return row == rows.end() ? 0 : std::stoull(row->second.value);
    }

    void check_outcome()
    {
        std::map<std::string, std::vector<std::uint64_t>> versions;
        for (std::uint64_t v = 1; v <= head(); ++v) {
            versions[log_at(v).change_id()].push_back(v);
        }
        std::size_t committed = 0;
        for (const request_record& record : records_) {
            const std::vector<std::uint64_t>& found = versions[record.request.change_id];
            committed += found.size();
            check_record(record, found);
        }
        RC_ASSERT(committed == head());
    }

    void check_record(const request_record& record, const std::vector<std::uint64_t>& found)
    {
        const rpc::configuration_change& change = record.request.changes.front();
        RC_ASSERT(found.size() <= 1U);
        const result<std::uint64_t>& outcome = *record.outcome;
        if (outcome.has_value()) {
            RC_ASSERT((found.empty() || found.front() == outcome.value()));
            const bool out = !change.deleted() && change.value() == data_centre_out;
            RC_ASSERT(state_at(outcome.value()).count(change.key()) == (out ? 1U : 0U));
        } else if (outcome.error().kind == error_kind::conflict) {
            RC_ASSERT(found.empty());
        } else if (outcome.error().kind != error_kind::outcome_unknown &&
                   !record.earlier_call_unknown) {
            // A repeated call that could not read doesn't resolve the outcome of the earlier one.
            RC_ASSERT(found.empty());
        }
        const bool checked_base = record.request.expected_version || outcome.has_value();
        for (std::uint64_t v = record.base + 1; checked_base && !found.empty() && v < found.front();
             ++v) {
            RC_ASSERT(log_at(v).key() != change.key()); // no other change was overwritten
        }
    }

    std::vector<request_plan> plans_;
    std::size_t next_{0};
    fake_table_service table_;
    configuration_store store_{table_, {}, [](absl::Duration) {}};
    configuration_builder follower_;
    std::vector<running_request> running_;
    std::vector<request_record> records_;
    std::uint64_t highest_head_{0};
    int outage_left_{0};
};

} // namespace

// Guards against changes that are applied twice, lost, reported wrongly or overwritten when
// operators race each other and the table service fails.
TEST_CASE("accepted changes are applied exactly once despite races and table service faults")
{
    configure_rapidcheck(24);
    CHECK(rc::check("racing operators", [] {
        race(*rc::gen::container<std::vector<request_plan>>(any_plan())).run();
    }));
}
