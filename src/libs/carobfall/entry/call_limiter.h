#pragma once

#include <atomic>
#include <memory>

namespace carobfall {

/// Limits the number of concurrent calls of one kind. Thread-safe.
class call_limiter {
public:
    explicit call_limiter(int limit) : limit_(limit) {}

    /// Holds one slot until it is destroyed.
    class permit {
    public:
        explicit permit(std::atomic<int>* used) : used_(used) {}
        [[nodiscard]] explicit operator bool() const { return used_ != nullptr; }

    private:
        struct release {
            void operator()(std::atomic<int>* used) const { --*used; }
        };
        std::unique_ptr<std::atomic<int>, release> used_;
    };

    /// Returns a permit that converts to false if the limit has been reached.
    [[nodiscard]] permit acquire()
    {
        if (++used_ > limit_) {
            --used_;
            return permit(nullptr);
        }
        return permit(&used_);
    }

private:
    const int limit_;
    std::atomic<int> used_{0};
};

} // namespace carobfall
