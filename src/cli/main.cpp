#include "cli/commandline.h"

#include <iostream>

int main(int argc, char **argv)
{
    return Lentillock::CommandLine().run({argv + 1, argv + argc}, {std::cout, std::cerr});
}
