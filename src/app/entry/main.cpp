#include "carobfall/base/clock.h"

int main()
{
    return carobfall::to_unix_ms(carobfall::monotonic_now()) > 0 ? 0 : 1;
}
