package org.vanillacove.protocol.document;

/**
 * Why one field of a document is invalid.
 *
 * @param field JSON path of the field, such as {@code $.resources.cpuMillis}
 * @param reason what is wrong with the field
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
