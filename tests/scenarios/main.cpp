#include "scenarios/scenarioparser.h"
#include "scenarios/scenariorunner.h"

#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>

/// Runs one scenario file. Exit status: 0 if all checks pass, 1 if a check fails, 2 on incorrect usage or an invalid scenario file.
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
        const std::vector<std::string> failures = runner.run();
        for (const std::string &failure : failures) {
            std::cout << argv[1] << ": " << failure << "\n";
        }
        return failures.empty() ? 0 : 1;
    } catch (const std::exception &error) {
        std::cerr << argv[1] << ": " << error.what() << "\n";
        return 2;
    }
}
