#pragma once

#include <string>

namespace carobfall {

struct process_identity {
    std::string name;
    std::string incarnation; ///< new at every start
    std::string data_centre;
};

} // namespace carobfall
