"""Guards against a result code without properties or in the wrong class."""

from jacinthcove.codes import CODES, ResultClass, ResultCode


def test_every_code_has_the_class_of_its_hundred():
    classes = {1: ResultClass.DONE, 2: ResultClass.NOT_RUN, 3: ResultClass.MAY_HAVE_RUN}
    for code in ResultCode:
        assert CODES[code].result_class is classes[code // 100]
