#!/usr/bin/env python3
"""Checks that the commands and metrics named in the documentation exist.

Usage: checkcommands.py BINARIES [ROOT]

BINARIES is a directory that contains the programs, directly or as in the build tree (cli/, entry/, control/, ../platform/). ROOT is the source tree.
Guards against pages whose commands are refused or whose metrics never appear when people on call need them.
Prints FILE:LINE: MESSAGE for each problem. Exit status: 0 no problems, 1 problems, 2 wrong usage, 3 a program cannot be run.
"""

import pathlib
import re
import shlex
import subprocess
import sys

PROGRAMS = {"lentillock": "cli", "lentillock-entry": "entry", "lentillock-control": "control", "lentillock-gateway": "../platform"}
OPTION = re.compile(r"--[a-z][a-z-]*")
METRIC = re.compile(r"\blentillock_[a-z0-9_]+")
SHELL_OPERATORS = re.compile(r"[|;&<>()]+")


class Help:
    """The options that the programs and the subcommands state in their help."""

    def __init__(self, binaries):
        self.paths = {}
        for program, directory in PROGRAMS.items():
            candidates = [binaries / program, binaries / directory / program]
            found = [path for path in candidates if path.is_file()]
            if not found:
                raise OSError(f"{program} is not in {binaries}")
            self.paths[program] = found[0]
        self.options = {program: set(OPTION.findall(self.text(program))) for program in PROGRAMS}
        self.commands = {}
        for command in re.findall(r"^  ([a-z]+)  ", self.text("lentillock"), re.MULTILINE):
            self.commands[command] = set(OPTION.findall(self.text("lentillock", command)))
        if not self.commands:
            raise OSError("lentillock --help lists no commands")

    def text(self, program, *arguments):
        result = subprocess.run([self.paths[program], *arguments, "--help"], capture_output=True, text=True, timeout=20, check=True)
        return result.stdout


def code_lines(path):
    """The lines of fenced and indented code blocks with their numbers; lines that end in a backslash are joined."""
    fenced = False
    pending, pending_number = "", 0
    for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
        if line.lstrip().startswith("```"):
            fenced = not fenced
            continue
        if not fenced and not line.startswith("    "):
            continue
        if not pending:
            pending_number = number
        pending += line.strip()
        if pending.endswith("\\"):
            pending = pending[:-1] + " "
            continue
        yield pending_number, pending
        pending = ""


def split_commands(line):
    """The simple commands of a shell line as lists of words."""
    lexer = shlex.shlex(line, posix=True, punctuation_chars="|;&<>()")
    lexer.whitespace_split = True
    lexer.commenters = "#"
    command = []
    for word in lexer:
        if SHELL_OPERATORS.fullmatch(word):
            yield command
            command = []
        else:
            command.append(word)
    yield command


def command_problems(words, known):
    program, arguments = words[0], [word.strip("[]") for word in words[1:]]
    options = known.options[program]
    place = program
    if program == "lentillock" and arguments and not arguments[0].startswith("-") and arguments[0] != "COMMAND":
        place = f"lentillock {arguments[0]}"
        if arguments[0] not in known.commands:
            yield f'there is no command "{place}"'
            return
        options = known.commands[arguments[0]]
    for argument in arguments:
        name = argument.split("=")[0]
        if name.startswith("-") and name != "-" and name not in options:
            yield f'"{place}" has no option "{name}"'


def check_commands(path, known):
    count = 0
    problems = []
    for number, line in code_lines(path):
        if not line.startswith(tuple(PROGRAMS)):
            continue
        try:
            commands = [words for words in split_commands(line) if words and words[0] in PROGRAMS]
        except ValueError as error:
            problems.append((number, f"the command cannot be read: {error}"))
            continue
        for words in commands:
            count += 1
            problems += [(number, problem) for problem in command_problems(words, known)]
    return count, problems


def check_metrics(path, metrics):
    for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
        for name in METRIC.findall(line):
            if name not in metrics:
                yield number, f'no source file has the metric "{name}"'


def main(arguments):
    if len(arguments) not in (1, 2):
        print(__doc__, file=sys.stderr)
        return 2
    root = pathlib.Path(arguments[1]) if len(arguments) == 2 else pathlib.Path(__file__).resolve().parents[2]
    try:
        known = Help(pathlib.Path(arguments[0]))
    except (OSError, subprocess.SubprocessError) as error:
        print(f"error: {error}", file=sys.stderr)
        return 3
    metrics = set()
    for source in [*(root / "src").rglob("*"), *(root / "platform").rglob("*")]:
        if source.suffix in (".cpp", ".h"):
            metrics.update(METRIC.findall(source.read_text(encoding="utf-8")))
    count = 0
    problems = []
    for page in sorted((root / "docs").rglob("*.md")):
        found = list(check_metrics(page, metrics))
        if page.is_relative_to(root / "docs" / "operations") or page.is_relative_to(root / "docs" / "manual"):
            commands, faults = check_commands(page, known)
            count += commands
            found += faults
        problems += [f"{page.relative_to(root)}:{number}: {message}" for number, message in found]
    print("\n".join([*problems, f"{count} commands checked, {len(problems)} problems"]))
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
