// Debian builds Abseil without ThreadSanitizer, which therefore can't detect the order of critical
// sections of absl::Mutex. In builds with ThreadSanitizer the linker redirects the calls to these
// functions (--wrap, see CMakeLists.txt), which annotate them.
#include <sanitizer/tsan_interface.h>

#include <cstdint>

// The parameter types are those of the ABI: Mutex*, const Condition*, and Duration by value.
extern "C" {
void real_lock(void* mutex) __asm__("__real__ZN4absl7debian35Mutex4LockEv");
void real_unlock(void* mutex) __asm__("__real__ZN4absl7debian35Mutex6UnlockEv");
void real_destroy(void* mutex) __asm__("__real__ZN4absl7debian35MutexD1Ev");
bool real_await(void* mutex, const void* condition, std::uint64_t high, std::uint64_t low) __asm__(
    "__real__ZN4absl7debian35Mutex16AwaitWithTimeoutERKNS0_9ConditionENS0_8DurationE");

void wrapped_lock(void* mutex) __asm__("__wrap__ZN4absl7debian35Mutex4LockEv");
void wrapped_unlock(void* mutex) __asm__("__wrap__ZN4absl7debian35Mutex6UnlockEv");
void wrapped_destroy(void* mutex) __asm__("__wrap__ZN4absl7debian35MutexD1Ev");
bool wrapped_await(void* mutex, const void* condition, std::uint64_t high,
                   std::uint64_t low) __asm__("__wrap__ZN4absl7debian35Mutex16AwaitWithTimeoutERKNS"
                                              "0_9ConditionENS0_8DurationE");

void wrapped_lock(void* mutex)
{
    __tsan_mutex_pre_lock(mutex, 0);
    real_lock(mutex);
    __tsan_mutex_post_lock(mutex, 0, 0);
}

void wrapped_unlock(void* mutex)
{
    __tsan_mutex_pre_unlock(mutex, 0);
    __tsan_mutex_post_unlock(mutex, 0);
    real_unlock(mutex);
}

void wrapped_destroy(void* mutex)
{
    __tsan_mutex_destroy(mutex, 0);
    real_destroy(mutex);
}

bool wrapped_await(void* mutex, const void* condition, std::uint64_t high, std::uint64_t low)
{
    __tsan_mutex_pre_unlock(mutex, 0);
    __tsan_mutex_post_unlock(mutex, 0);
    const bool holds = real_await(mutex, condition, high, low);
    __tsan_mutex_pre_lock(mutex, 0);
    __tsan_mutex_post_lock(mutex, 0, 0);
    return holds;
}
}
