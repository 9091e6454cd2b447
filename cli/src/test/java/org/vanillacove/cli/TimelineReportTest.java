package org.vanillacove.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.io.Resources;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the script of the HTML report for errors that can be found without a browser. */
class TimelineReportTest {
  @ParameterizedTest
  @ValueSource(strings = {"top", "window", "document", "location"})
  void scriptDeclaresNoNameThatBrowsersReserve(String name) throws IOException {
    String page =
        Resources.toString(
            Resources.getResource(TimelineReport.class, "timeline.html"), StandardCharsets.UTF_8);
    Pattern declaration = Pattern.compile("(?:const|let|,)\\s+" + name + "\\s*=[^=>]");

    assertThat(page).contains("<script>");
    assertThat(declaration.matcher(page).find()).as(name).isFalse();
  }
}
