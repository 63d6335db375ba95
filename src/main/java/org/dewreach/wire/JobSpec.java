package org.dewreach.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/**
 * A job as its user specifies it ({@code POST /work}).
 *
 * @param id the id, which the user chooses
 * @param jobClass the class of the job, for which the settings may define objectives
 * @param team the team whose quota the job counts against
 * @param jobKind the kind, which determines how its tasks run
 * @param priority its priority
 * @param tasks the number of its tasks
 * @param cpus CPUs of each task
 * @param gpus GPUs of each task
 * @param memoryGb memory of each task
 * @param image the name of the tasks' image
 * @param imageGb the image's size
 * @param types allowed machine types, or null for any
 * @param zone the only allowed zone, or null
 * @param sameZone true if all tasks must run in one zone
 * @param spreadZones true if the tasks must not all run in one zone
 * @param spot true if its tasks may run on spot machines
 * @param expectedMicros the expected running time of a task
 * @param checkpointIntervalMicros interval at which a task saves a checkpoint, or 0 if it saves
 *     none
 * @param checkpointDurationMicros how long a task takes to save a checkpoint
 * @param deadlineMicros the deadline for completion, relative to the submission, or -1 for none
 */
public record JobSpec(
    String id,
    String jobClass,
    String team,
    JobKind jobKind,
    Priority priority,
    int tasks,
    double cpus,
    double gpus,
    double memoryGb,
    String image,
    double imageGb,
    List<String> types,
    String zone,
    boolean sameZone,
    boolean spreadZones,
    boolean spot,
    long expectedMicros,
    long checkpointIntervalMicros,
    long checkpointDurationMicros,
    long deadlineMicros) {

  private static final int MAX_TASKS = 100_000;

  private static final int MAX_NAMES_PER_LIST = 100;
  private static final int MAX_NAME_LENGTH = 200;

  /** The total length of the names in a list; far more than the types of any zone need. */
  private static final int MAX_TOTAL_NAMES_LENGTH = 800;

  private static final Pattern ID_PATTERN = Pattern.compile("req-[0-9A-Za-z]{1,40}");

  /** True if the text has the form of a job id; no job with another form can exist. */
  public static boolean isId(String text) {
    return ID_PATTERN.matcher(text).matches();
  }

  /**
   * Parses the body of a submission.
   *
   * @throws MalformedException if a field is missing, of the wrong type or out of range
   */
  public static JobSpec parse(JsonNode body) throws MalformedException {
    ObjectNode map = Fields.map(body);
    String id = Fields.text(map, "uid");
    if (!isId(id)) {
      throw new MalformedException("uid", "not a job id");
    }
    double cpus = Fields.amount(map, "cpus");
    if (cpus <= 0) {
      throw new MalformedException("cpus", "must be more than 0");
    }
    return new JobSpec(
        id,
        Fields.text(map, "lane"),
        Fields.text(map, "desk"),
        JobKind.of(Fields.text(map, "shape")),
        Priority.of(Fields.text(map, "urgency")),
        (int) Fields.count(map, "pieces", 1, MAX_TASKS),
        cpus,
        Fields.amount(map, "cards"),
        Fields.amount(map, "memory_gb"),
        Fields.text(map, "bundle"),
        Fields.amount(map, "pull_gb"),
        namesOrNull(map, "builds"),
        Fields.textOrNull(map, "site"),
        Fields.flag(map, "together"),
        Fields.flag(map, "scatter"),
        Fields.flag(map, "loaners"),
        Fields.micros(map, "expected_s"),
        Fields.micros(map, "mark_every_s"),
        Fields.micros(map, "mark_cost_s"),
        Fields.microsOrNone(map, "due_s"));
  }

  private static List<String> namesOrNull(ObjectNode map, String name) throws MalformedException {
    if (Fields.absent(map, name)) {
      return null;
    }
    if (!(map.get(name) instanceof ArrayNode list) || list.size() > MAX_NAMES_PER_LIST) {
      throw new MalformedException(name, "short list expected");
    }
    List<String> names = new ArrayList<>(list.size());
    int length = 0;
    for (JsonNode item : list) {
      if (!item.isTextual()
          || item.textValue().isEmpty()
          || item.textValue().length() > MAX_NAME_LENGTH) {
        throw new MalformedException(name, "text expected");
      }
      names.add(item.textValue());
      length += item.textValue().length();
    }
    if (length > MAX_TOTAL_NAMES_LENGTH) {
      // A job's record must fit into one value of the key-value store throughout the job's life.
      throw new MalformedException(name, "too long");
    }
    return List.copyOf(names);
  }

  /** Returns the body that {@link #parse} reads. */
  public ObjectNode toNode() {
    ObjectNode map = Codec.map();
    map.put("uid", id).put("lane", jobClass).put("desk", team);
    map.put("shape", jobKind.wireName()).put("urgency", priority.wireName()).put("pieces", tasks);
    map.put("cpus", cpus).put("cards", gpus).put("memory_gb", memoryGb);
    map.put("bundle", image).put("pull_gb", imageGb);
    if (types == null) {
      map.putNull("builds");
    } else {
      ArrayNode list = map.putArray("builds");
      types.forEach(list::add);
    }
    map.put("site", zone)
        .put("together", sameZone)
        .put("scatter", spreadZones)
        .put("loaners", spot);
    map.put("expected_s", expectedMicros / Fields.MICROS_PER_SECOND)
        .put("mark_every_s", checkpointIntervalMicros / Fields.MICROS_PER_SECOND);
    map.put("mark_cost_s", checkpointDurationMicros / Fields.MICROS_PER_SECOND);
    if (deadlineMicros >= 0) {
      map.put("due_s", deadlineMicros / Fields.MICROS_PER_SECOND);
    } else {
      map.putNull("due_s");
    }
    return map;
  }
}
