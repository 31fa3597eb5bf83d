#include "command_line.h"

int main(int argc, char** argv)
{
    return carobfall::tool::command_line().run(argc, argv);
}
