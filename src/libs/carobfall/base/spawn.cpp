#include "carobfall/base/spawn.h"

#include <boost/asio/co_spawn.hpp>

#include <exception>
#include <utility>

namespace carobfall {

namespace asio = boost::asio;

void spawn(const asio::any_io_executor& executor, asio::awaitable<void> coroutine)
{
    asio::co_spawn(executor, std::move(coroutine), [](const std::exception_ptr& failure) {
        if (failure) {
            std::rethrow_exception(failure);
        }
    });
}

void spawn(const asio::any_io_executor& executor, asio::awaitable<void> coroutine,
           failure_handler on_failure)
{
    asio::co_spawn(executor, std::move(coroutine),
                   [on_failure = std::move(on_failure)](const std::exception_ptr& failure) {
                       try {
                           if (failure) {
                               std::rethrow_exception(failure);
                           }
                       } catch (const std::exception& exception) {
                           on_failure(exception.what());
                       }
                   });
}

} // namespace carobfall
