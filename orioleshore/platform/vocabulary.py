"""Names that the platform gives to the parts of a configuration."""

from orioleshore.findings import words

WORDS = words.Words(
    queue='route',
    queues='routes',
    pool='service',
    pools='services',
    organisation='tenant',
    organisations='tenants',
    prefix='path_prefix',
    stretch='stretch_factor',
    objective='slo_ms',
    is_public='public',
    is_standby='standby',
    keys='api_keys',
    limit='cap',
    cpu='cpus',
    memory='mem_mb',
)
