#include "scenarios/scenarioparser.h"
#include "scenarios/scenariorunner.h"

#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>

/// Runs one scenario file. Exit status: 0 all checks hold, 1 a check fails, 2 wrong usage or an unreadable file.
int main(int argc, char **argv)
{
    if (argc != 2) {
        std::cerr << "usage: run-scenario FILE\n";
        return 2;
    }
    try {
        std::ifstream file(argv[1]);
        std::ostringstream text;
        text << file.rdbuf();
        Lentillock::Scenarios::ScenarioRunner runner(Lentillock::Scenarios::parseScenario(text.str()));
        const std::vector<std::string> problems = runner.run();
        for (const std::string &problem : problems) {
            std::cout << argv[1] << ": " << problem << "\n";
        }
        return problems.empty() ? 0 : 1;
    } catch (const std::exception &error) {
        std::cerr << argv[1] << ": " << error.what() << "\n";
        return 2;
    }
}
