#!/usr/bin/env python3
"""Copies source folders with all mutants of a list built in; quilltide_mutant selects one at run time (0: none);
it starts with the value of the environment variable QUILLTIDE_MUTANT.

    mutate.py LIST SOURCES INTO FOLDER...   # LIST as verification/leases_mutants.toml; copies each FOLDER of SOURCES

Fails unless each mutant's text occurs exactly once in its file, which detects an outdated list.
"""
import pathlib
import shutil
import sys
import tomllib


def main():
    mutant_list, sources, output, folders = sys.argv[1], *map(pathlib.Path, sys.argv[2:4]), sys.argv[4:]
    mutants = tomllib.loads(pathlib.Path(mutant_list).read_text())["mutant"]
    for folder in folders:
        # With new times: with those of the sources the build would take the copies for outdated, and copy again
        # while they are compiled.
        shutil.copytree(sources / folder, output / folder, copy_function=shutil.copyfile, dirs_exist_ok=True)
    for number, mutant in enumerate(mutants, 1):
        path = output / mutant["file"]
        text = path.read_text()
        before, old, after = mutant.get("before", ""), mutant["old"], mutant.get("after", "")
        quoted = before + old + after
        if text.count(quoted) != 1:
            sys.exit(f"mutate: '{mutant['name']}': {quoted!r} occurs {text.count(quoted)} times in {mutant['file']}, "
                     "expected 1")
        replacement = f"(quilltide_mutant == {number} ? ({mutant['new']}) : ({old}))"
        path.write_text(text.replace(quoted, before + replacement + after))
    for path in {output / mutant["file"] for mutant in mutants}:
        path.write_text('#include "mutants.hpp"\n' + path.read_text())
    names = "".join(f', "{mutant["name"]}"' for mutant in mutants)
    (output / "mutants.hpp").write_text(
        "#pragma once\n#include <cstdlib>\n"
        "inline int mutantOfEnvironment() {\n"
        "  const char* number = std::getenv(\"QUILLTIDE_MUTANT\");\n"
        "  return number == nullptr ? 0 : std::atoi(number);\n}\n"
        "inline int quilltide_mutant = mutantOfEnvironment();\n"
        f"inline constexpr int kMutants = {len(mutants)};\n"
        f'inline constexpr const char* kMutantNames[] = {{"none"{names}}};\n')


if __name__ == "__main__":
    main()
