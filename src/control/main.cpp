#include "control/controlmain.h"

#include <iostream>

int main(int argc, char **argv)
{
    return Lentillock::runControl(std::vector<std::string>(argv + 1, argv + argc), std::cout, std::cerr);
}
