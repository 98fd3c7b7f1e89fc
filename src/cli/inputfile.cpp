#include "cli/inputfile.h"

#include <fstream>
#include <iostream>
#include <iterator>

namespace Lentillock
{

leaf::result<std::string> readInputFile(const std::string &path)
{
    if (path == "-") {
        return std::string(std::istreambuf_iterator<char>(std::cin), {});
    }
    std::ifstream stream(path, std::ios::binary);
    if (!stream) {
        return leaf::new_error(CommandFailure{"cannot read " + path});
    }
    return std::string(std::istreambuf_iterator<char>(stream), {});
}

}
