"""Output of the command line, as text for people or as JSON."""

import json
from typing import Any

from orioleshore.model import errors

# Why a process has an older version, by its state in the membership.
_LAG_REASONS = {
    None: 'not known to membership',
    'alive': 'alive, the update is pending',
    'suspect': 'does not answer probes',
    'dead': 'dead or cut off',
    'left': 'stopped',
}


def format_json(content: Any) -> str:
    """Return JSON with sorted keys."""
    return json.dumps(content, sort_keys=True, indent=2)


def format_failure(failure: errors.Failure) -> str:
    """Return an error as text, with one line for each detail."""
    lines = [f'{failure.kind.value}: {failure.message}']
    lines += [f'  {detail}' for detail in failure.details]
    return '\n'.join(lines)


def format_finding(finding: dict[str, str]) -> str:
    """Return a finding as one line: where, why, and how to mend it."""
    text = (
        f'{finding["severity"]} {finding["place"]}: {finding["reason"]} '
        f'({finding["kind"]})'
    )
    return f'{text}; {finding["remedy"]}' if finding['remedy'] else text


def format_report(report: dict[str, Any]) -> str:
    """Return the report of a check as text for people."""
    items = ', '.join(f'{n} {name}' for name, n in report['items'].items())
    lines = [format_finding(finding) for finding in report['findings']]
    return '\n'.join([*lines, f'valid: {items}'])


def format_comparison(comparison: dict[str, Any]) -> str:
    """Return differences as text for people, with one entry a line."""
    lines = []
    if comparison['version'] is not None:
        lines.append(f'version {comparison["version"]} is in force')
    for difference in comparison['differences']:
        lines.append(f'{difference["kind"]} {difference["entry"]}')
        lines += [f'  {field}' for field in difference['fields']]
    if not comparison['differences']:
        lines.append('no differences')
    lines += [format_finding(finding) for finding in comparison['findings']]
    return '\n'.join(lines)


def format_status(status: dict[str, Any]) -> str:
    """Return the status of the fleet as text for people.

    Processes on the users' platform show their organisations instead.
    """
    if 'organisations' in status:
        return '\n'.join(map(_format_organisation, status['organisations']))
    lines = _format_group(status.get('group', {}), status['version'])
    hosts = _format_counts(status['hosts'])
    lines.append(f'hosts      {hosts}')
    lines.append(f'jobs       {_format_counts(status["jobs"])}')
    for service in status['services']:
        lines += _format_service(service)
    for name, wave in status['waves'].items():
        lines += _format_wave(name, wave)
    return '\n'.join(lines)


def format_explanation(content: dict[str, Any]) -> str:
    """Return records and decisions about one subject as text for people."""
    lines = []
    for key, value in content.items():
        if key != 'explanations':
            lines.append(f'{key}: {json.dumps(value, sort_keys=True)}')
    lines += [
        f'{entry["time"]:.3f} {entry["decision"]}\n'
        f'  facts:  {json.dumps(entry["facts"], sort_keys=True)}\n'
        f'  rule:   {entry["rule"]}\n'
        f'  remedy: {entry["remedy"] or "-"}'
        for entry in content.get('explanations', ())
    ]
    return '\n'.join(lines)


def format_story(content: dict[str, Any]) -> str:
    """Return a story from log files as text for people.

    Lines that do not name the subject are marked with an asterisk.
    """
    lines = list(content['summary'])
    lines += [
        f'{line["time"]} {"*" if line["is_context"] else " "} '
        f'{line["node"]}: {line["text"]}'
        for line in content['lines']
    ]
    return '\n'.join(lines)


def _format_organisation(row: dict[str, Any]) -> str:
    kinds = ('thousandths of a core', 'MB', 'accelerators')
    usage = ', '.join(
        f'{used} of {limit or "any"} {kind}'
        for kind, used, limit in zip(
            kinds, row['used'], row['limit'], strict=True
        )
    )
    return (
        f'{row["name"]}: {usage}; weight {row["weight"]:g}, weighted share '
        f'{row["share"]:.4f}; {row["unfinished_jobs"]} unfinished jobs, '
        f'{row["held_jobs"]} held by the limit'
    )


def _format_group(group: dict[str, Any], version: int) -> list[str]:
    lines = [
        f'version    {version}',
        f'leader     {group.get("leader") or "none"}, '
        f'term {group.get("term", "-")}',
    ]
    for name, member in group.get('members', {}).items():
        kind = 'voter' if member['voter'] else 'learner'
        index = member['match_index']
        position = '' if index is None else f', has entry {index}'
        lines.append(f'member     {name}: {kind}{position}')
    for node, in_force in group.get('versions_in_force', {}).items():
        note = ''
        if in_force < version:
            reason = _LAG_REASONS[group.get('peer_states', {}).get(node)]
            note = f', {version - in_force} behind: {reason}'
        lines.append(f'in force   {node}: version {in_force}{note}')
    return lines


def _format_service(service: dict[str, Any]) -> list[str]:
    return [
        f'budget     {service["service"]} ({loss["scope"]}): '
        f'{loss["cores_down"]:g} of {loss["cores_allowed"]:g} cores down'
        + (', EXCEEDED' if loss['exceeded'] else '')
        for loss in service['losses']
    ]


def _format_wave(name: str, wave: dict[str, Any]) -> list[str]:
    counts = wave['hosts']
    finished = counts['done'] + counts['set_aside']
    lines = [
        f'wave       {name}: {wave["state"]}, '
        f'{finished} of {sum(counts.values())} hosts finished, '
        f'{counts["started"]} under way, {counts["set_aside"]} set aside'
    ]
    lines += [
        f'           paused {scope}: {reason}'
        for scope, reason in wave['paused'].items()
    ]
    return lines


def _format_counts(counts: dict[str, int]) -> str:
    present = [f'{count} {name}' for name, count in counts.items() if count]
    return ', '.join(present) or 'none'
