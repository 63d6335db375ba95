package org.dewreach.autoscaling;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Requirements of the same size, planned as one: many small jobs fill a large machine as well as a
 * large job does.
 *
 * @param requirement their sum
 * @param imageSizesGb the images that their tasks need
 */
record RequirementGroup(CapacityRequirement requirement, Map<String, Double> imageSizesGb) {

  /** The groups, in the order of their first requirements. */
  static Collection<RequirementGroup> of(List<CapacityRequirement> requirements) {
    Map<String, RequirementGroup> groups = new LinkedHashMap<>();
    for (CapacityRequirement requirement : requirements) {
      String key = requirement.groupKey();
      RequirementGroup known = groups.get(key);
      RequirementGroup group =
          known == null
              ? new RequirementGroup(requirement, new HashMap<>())
              : new RequirementGroup(known.requirement().plus(requirement), known.imageSizesGb());
      group.imageSizesGb().put(requirement.spec().image(), requirement.spec().imageGb());
      groups.put(key, group);
    }
    return groups.values();
  }

  /** How much a machine that is given so many of the tasks has to fetch, on average. */
  double fetchGb(int tasks) {
    double sum = imageSizesGb.values().stream().mapToDouble(Double::doubleValue).sum();
    return sum / imageSizesGb.size() * Math.min(tasks, imageSizesGb.size());
  }
}
