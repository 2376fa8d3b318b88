#!/usr/bin/env python3
"""Copies modules with every mutant of a list built in, to be picked at run time by quilltide_mutant (0: none).

    mutate.py LIST SOURCES INTO FOLDER...   # LIST as verification/leases_mutants.toml; each FOLDER of SOURCES is copied

Fails if a mutant's text does not stand in its file exactly once: a list that is older than the code shows.
"""
import pathlib
import shutil
import sys
import tomllib


def main():
    listed, sources, into, folders = sys.argv[1], *map(pathlib.Path, sys.argv[2:4]), sys.argv[4:]
    mutants = tomllib.loads(pathlib.Path(listed).read_text())["mutant"]
    for folder in folders:
        shutil.copytree(sources / folder, into / folder, dirs_exist_ok=True)
    for number, mutant in enumerate(mutants, 1):
        path = into / mutant["file"]
        text = path.read_text()
        before, old, after = mutant.get("before", ""), mutant["old"], mutant.get("after", "")
        whole = before + old + after
        if text.count(whole) != 1:
            sys.exit(f"mutate: '{mutant['name']}': {whole!r} stands {text.count(whole)} times in {mutant['file']}, "
                     "not once")
        chosen = f"(quilltide_mutant == {number} ? ({mutant['new']}) : ({old}))"
        path.write_text(text.replace(whole, before + chosen + after))
    for path in {into / mutant["file"] for mutant in mutants}:
        path.write_text('#include "mutants.hpp"\n' + path.read_text())
    names = "".join(f', "{mutant["name"]}"' for mutant in mutants)
    (into / "mutants.hpp").write_text(
        "#pragma once\ninline int quilltide_mutant = 0;\n"
        f"inline constexpr int kMutants = {len(mutants)};\n"
        f'inline constexpr const char* kMutantNames[] = {{"none"{names}}};\n')


if __name__ == "__main__":
    main()
