#pragma once

#include "carobfall/operators/operator_service.h"

#include <doctest/doctest.h>
#include <doctest/trompeloeil.hpp>
#include <trompeloeil.hpp>

namespace carobfall::test {

class mock_operator_service : public operator_service {
public:
    using report = result<change_report>;
    MAKE_MOCK1(find_declaration, result<declared_row>(const std::string&), override);
    MAKE_MOCK1(list_declarations, result<std::vector<declared_row>>(const std::string&), override);
    MAKE_MOCK0(configuration_version, std::uint64_t(), override);
    MAKE_MOCK3(apply, report(const std::string&, const std::string&, const change_options&),
               override);
    MAKE_MOCK2(remove, report(const std::string&, const change_options&), override);
    MAKE_MOCK3(set_data_centre, report(const std::string&, bool, const change_options&), override);
    MAKE_MOCK0(data_centres, result<std::vector<data_centre_status>>(), override);
    MAKE_MOCK0(backends, result<std::vector<backend_status>>(), override);
    MAKE_MOCK1(forget_entry, result<void>(const std::string&), override);
    MAKE_MOCK1(retry_now, result<std::uint32_t>(const std::string&), override);
};

} // namespace carobfall::test
