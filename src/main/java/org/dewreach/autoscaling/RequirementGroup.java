package org.dewreach.autoscaling;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Requirements with the same group key, planned as one: many small jobs fill a large machine as
 * well as one large job does.
 *
 * @param requirement the sum of the requirements
 * @param imageSizesGb the sizes of the images that the tasks need, by image name
 */
record RequirementGroup(CapacityRequirement requirement, Map<String, Double> imageSizesGb) {

  /** Returns the groups, in the order of their first requirements. */
  static Collection<RequirementGroup> of(List<CapacityRequirement> requirements) {
    Map<String, RequirementGroup> groups = new LinkedHashMap<>();
    for (CapacityRequirement requirement : requirements) {
      String key = requirement.groupKey();
      RequirementGroup existing = groups.get(key);
      RequirementGroup group =
          existing == null
              ? new RequirementGroup(requirement, new HashMap<>())
              : new RequirementGroup(
                  existing.requirement().plus(requirement), existing.imageSizesGb());
      group.imageSizesGb().put(requirement.spec().image(), requirement.spec().imageGb());
      groups.put(key, group);
    }
    return groups.values();
  }

  /**
   * Returns the amount of image data that a machine with this number of the tasks has to fetch on
   * average.
   */
  double fetchGb(int tasks) {
    double sum = imageSizesGb.values().stream().mapToDouble(Double::doubleValue).sum();
    return sum / imageSizesGb.size() * Math.min(tasks, imageSizesGb.size());
  }
}
