package org.fuchsiawinch.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.fuchsiawinch.ctl.output.JsonFormatter;
import org.fuchsiawinch.ctl.output.OutputFormat;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Tests the text format of JSON values. */
public final class JsonFormatterTest {

    @DataProvider
    Object[][] values() {
        return new Object[][] {
            {"[]", "none\n"},
            {"[{\"a\":1,\"b\":{\"c\":true}},{\"a\":22,\"d\":null}]", "a   b.c   d\n1   true  -\n22  -     -\n"},
            {"{\"job\":\"x\",\"why\":{\"code\":\"QUEUED\"}}", "job       x\nwhy.code  QUEUED\n"},
            {"{\"total\":1,\"rows\":[{\"id\":\"a\"}]}", "total  1\n\nrows:\nid\na\n"},
            {"{\"racks\":[1,2],\"none\":[],\"text\":\"\"}", "racks  1,2\ntext   -\n\nnone:\nnone\n"},
            {"{\"many\":[1,2,3,4,5,6,7,8,9]}", "many  1,2,3,4,5,6,7,8,... (9)\n"},
            {"{\"name\":\"a\\u001b[31mb\"}", "name  a?[31mb\n"},
            {"3", "3\n"}
        };
    }

    /** Lists of objects are tables, other members are lines; control characters never reach the terminal. */
    @Test(dataProvider = "values")
    public void rendersText(String json, String expected) throws JsonProcessingException {
        assertEquals(JsonFormatter.render(new ObjectMapper().readTree(json), OutputFormat.TABLE), expected);
    }
}
