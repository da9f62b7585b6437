import os

import gevent

from damasklanding.lines import MAX_LINES
from damasklanding.lines import LineWriter


def test_lines_are_written_in_order():
    reader, descriptor = os.pipe()
    writer = LineWriter(descriptor)
    for number in range(3):
        writer.write(f'line {number}')
    writer.flush()
    assert os.read(reader, 1_000) == b'line 0\nline 1\nline 2\n'


def test_pipe_that_nobody_reads_blocks_nothing_and_what_is_lost_is_told():
    reader, descriptor = os.pipe()
    writer = LineWriter(descriptor)
    writer.start()
    for number in range(3 * MAX_LINES):
        writer.write(f'{number} ' + 'x' * 200)
        if not number % 100:
            gevent.sleep(0)
    assert writer.dropped > 0
    os.set_blocking(reader, False)
    read = b''
    with gevent.Timeout(10):
        while b'log lines were dropped' not in read:
            gevent.sleep(0.01)
            try:
                read += os.read(reader, 1 << 20)
            except BlockingIOError:
                continue


def test_closed_reader_ends_nothing():
    reader, descriptor = os.pipe()
    writer = LineWriter(descriptor)
    os.close(reader)
    writer.write('nobody reads this')
    writer.flush()
    assert writer.dropped == 1
