"""
damasklanding.tables
~~~~~~~~~~~~~~~~~~~~

Plain text tables for the command-line tool.
"""

__all__ = ['render_table']


def render_table(headings, rows):
    """
    Return a table as text, numbers to the right.

    :param headings: list of column titles.
    :param rows: list of rows; None shows as a dash.
    """
    cells = [[_cell(value) for value in row] for row in rows]
    widths = [
        max(len(line[column]) for line in [headings, *cells])
        for column in range(len(headings))
    ]
    right = [
        bool(rows)
        and all(isinstance(row[column], int | float) for row in rows)
        for column in range(len(headings))
    ]
    return '\n'.join(_line(line, widths, right) for line in [headings, *cells])


def _line(line, widths, right):
    parts = [
        text.rjust(width) if to_right else text.ljust(width)
        for text, width, to_right in zip(line, widths, right, strict=True)
    ]
    return '  '.join(parts).rstrip()


def _cell(value):
    if value is None or value == '':
        return '-'
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, float):
        return f'{value:.2f}'
    if isinstance(value, list | tuple):
        return ','.join(map(str, value)) or '-'
    return str(value)
