package org.vanillacove.protocol.document;

/**
 * A fault of one field of a document.
 *
 * @param field JSON path of the field, such as {@code $.resources.cpuMillis}
 * @param reason what is wrong with it
 */
public record FieldFault(String field, String reason) implements Comparable<FieldFault> {
  @Override
  public int compareTo(FieldFault other) {
    int byField = field.compareTo(other.field);
    return byField == 0 ? reason.compareTo(other.reason) : byField;
  }

  @Override
  public String toString() {
    return field + ": " + reason;
  }
}
