package org.vanillacove.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.io.Resources;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the script of the time line's report, as far as no browser is needed. */
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
