"""Guards against a result code that `CODES` lacks or puts in the wrong class."""

from jacinthcove.codes import CODES, ResultClass, ResultCode


def test_class_of_every_code_follows_from_its_first_digit():
    classes = {1: ResultClass.DONE, 2: ResultClass.NOT_RUN, 3: ResultClass.MAY_HAVE_RUN}
    for code in ResultCode:
        assert CODES[code].result_class is classes[code // 100]
