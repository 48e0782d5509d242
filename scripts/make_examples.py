"""Add generated hosts of a given size to a document file."""

import argparse
import pathlib

import yaml

ZONES = ('az1', 'az2', 'az3')
HOSTS_PER_POOL = 6
HOSTS_PER_RACK = 4


def generate_hosts(pools: list[str], cores: int, memory_gb: int) -> list[dict]:
    """Return the hosts of all pools, spread over zones and racks."""
    hosts = []
    in_zone = dict.fromkeys(ZONES, 0)
    for pool in pools:
        for number in range(1, HOSTS_PER_POOL + 1):
            zone = ZONES[(number - 1) % len(ZONES)]
            rack = in_zone[zone] // HOSTS_PER_RACK + 1
            in_zone[zone] += 1
            hosts.append(
                {
                    'name': f'{pool}-{number}',
                    'pool': pool,
                    'rack': f'{zone}-r{rack}',
                    'availability_zone': zone,
                    'cores': cores,
                    'memory_gb': memory_gb,
                }
            )
    return hosts


def main() -> None:
    """Replace the hosts of a document file by generated ones."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('document', type=pathlib.Path)
    parser.add_argument('--cores', type=int, required=True)
    parser.add_argument('--memory-gb', type=int, required=True)
    arguments = parser.parse_args()
    content = yaml.safe_load(arguments.document.read_text('utf-8'))
    pools = [pool['name'] for pool in content['pools']]
    content['hosts'] = generate_hosts(
        pools, arguments.cores, arguments.memory_gb
    )
    arguments.document.write_text(
        yaml.safe_dump(content, sort_keys=False), 'utf-8'
    )


if __name__ == '__main__':
    main()
