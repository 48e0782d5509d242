"""Build the program as a single file, dist/orioleshore, with shiv.

Libraries are copied from the environment that runs this script, so that
the build needs no network.
"""

from importlib import metadata
import pathlib
import shutil
import subprocess
import sys
import tempfile

from packaging import requirements

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGE = 'orioleshore'
OUTPUT = ROOT / 'dist' / PACKAGE
ENTRY_POINT = 'orioleshore.cli.application:main'
INTERPRETER = (
    f'/usr/bin/env python{sys.version_info.major}.{sys.version_info.minor}'
)
_LEFT_OUT = ('tests', '__pycache__')


def read_requirements(path: pathlib.Path) -> list[requirements.Requirement]:
    """Return the pinned requirements of the program."""
    lines = path.read_text('utf-8').splitlines()
    return [
        requirements.Requirement(line)
        for line in lines
        if line.strip() and not line.startswith('#')
    ]


def find_distributions(
    pinned: list[requirements.Requirement],
) -> dict[str, metadata.Distribution]:
    """Return the requirements and their dependencies, by name.

    Raises SystemExit when the environment does not have a pinned version.
    """
    found: dict[str, metadata.Distribution] = {}
    waiting = list(pinned)
    while waiting:
        requirement = waiting.pop()
        distribution = metadata.distribution(requirement.name)
        if not requirement.specifier.contains(distribution.version):
            raise SystemExit(
                f'{requirement} is needed, version {distribution.version} '
                'is installed'
            )
        name = distribution.metadata['Name'].lower()
        if name in found:
            continue
        found[name] = distribution
        waiting += _get_requirements(distribution, requirement.extras)
    return found


def _get_requirements(
    distribution: metadata.Distribution, extras: set[str]
) -> list[requirements.Requirement]:
    needed = []
    for line in distribution.requires or ():
        requirement = requirements.Requirement(line)
        marker = requirement.marker
        if marker is None or any(
            marker.evaluate({'extra': extra}) for extra in ('', *extras)
        ):
            needed.append(requirement)
    return needed


def copy_distribution(
    distribution: metadata.Distribution, folder: pathlib.Path
) -> None:
    """Copy the installed files of a distribution, without scripts."""
    for path in distribution.files or ():
        if path.parts[0] == '..' or '__pycache__' in path.parts:
            continue
        target = folder / path
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(distribution.locate_file(path), target)


def build(output: pathlib.Path) -> None:
    """Build the program and write it to ``output``."""
    pinned = read_requirements(ROOT / 'requirements.txt')
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        for distribution in find_distributions(pinned).values():
            copy_distribution(distribution, folder)
        shutil.copytree(
            ROOT / PACKAGE,
            folder / PACKAGE,
            ignore=shutil.ignore_patterns(*_LEFT_OUT),
        )
        output.parent.mkdir(parents=True, exist_ok=True)
        subprocess.run(
            [
                pathlib.Path(sys.executable).with_name('shiv'),
                *('--site-packages', folder),
                *('--entry-point', ENTRY_POINT),
                *('--python', INTERPRETER),
                *('--output-file', output),
                '--compressed',
                '--reproducible',
            ],
            check=True,
        )


def main() -> None:
    """Build the program and print its size."""
    build(OUTPUT)
    size = OUTPUT.stat().st_size
    print(f'{OUTPUT.relative_to(ROOT)}: {size / 1e6:.1f} MB')


if __name__ == '__main__':
    main()
