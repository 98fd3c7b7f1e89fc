#include "entry/entrycommand.h"

int main(int argc, char **argv)
{
    return Lentillock::EntryCommand().run(argc, argv);
}
