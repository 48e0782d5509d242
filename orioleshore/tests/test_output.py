"""Non-blocking output of log lines and the limit on their rate."""

import logging
import os

from orioleshore.telemetry import logs
from orioleshore.telemetry import output


def make_logger(descriptor: int) -> tuple[logging.Logger, logging.Handler]:
    """Return a logger that writes to a descriptor."""
    handler = output.BoundedHandler(descriptor)
    handler.setFormatter(logs.KeyValueFormatter('node-1'))
    logger = logging.Logger('test')
    logger.addHandler(handler)
    return logger, handler


def read_pipe(descriptor: int) -> str:
    """Return the unread data of a pipe."""
    os.set_blocking(descriptor, False)
    return os.read(descriptor, 16_777_216).decode()


def test_stalled_reader_does_not_block_logging():
    """Guards against work that blocks on a full pipe."""
    reader, writer = os.pipe()
    logger, handler = make_logger(writer)
    for number in range(30_000):
        logger.warning(logs.format_event('stalled', number=number))
    assert handler.dropped_lines > 0
    while True:
        try:
            text = read_pipe(reader)
        except BlockingIOError:
            break
        assert text
        logger.warning(logs.format_event('resumed'))
        if 'resumed' in text:
            break
    os.close(reader)
    os.close(writer)


def test_lines_of_one_kind_are_bounded_and_counted():
    """Guards against a flood of one event that hides the others."""
    reader, writer = os.pipe()
    logger, handler = make_logger(writer)
    for _ in range(4):
        for number in range(output.MAX_LINES_PER_S):
            logger.info(logs.format_event('flood', number=number))
        logger.info(logs.format_event('other'))
        text = read_pipe(reader)
        assert 'event=other' in text
    # The four rounds fit into at most two seconds of the limit.
    assert handler.dropped_lines >= output.MAX_LINES_PER_S
    os.close(reader)
    os.close(writer)


def test_errors_are_not_bounded_by_kind():
    """Guards against an error that is dropped because of the limit."""
    reader, writer = os.pipe()
    logger, handler = make_logger(writer)
    for number in range(output.MAX_LINES_PER_S + 50):
        logger.error(logs.format_event('broken', number=number))
    assert handler.dropped_lines == 0
    assert f'number={output.MAX_LINES_PER_S + 49}' in read_pipe(reader)
    os.close(reader)
    os.close(writer)
