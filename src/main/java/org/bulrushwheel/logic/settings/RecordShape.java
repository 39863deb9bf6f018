package org.bulrushwheel.logic.settings;

import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

/**
 * Validates a document against the record type that it is read into and reports every unknown key, missing key and wrong
 * type.
 *
 * <p>Not thread safe: use a new instance for each document.
 */
public final class RecordShape {
    private final List<String> faults = new ArrayList<>();

    private RecordShape() {}

    /**
     * Returns the faults, each with its key, value and remedy.
     *
     * @param tree the document
     * @param type record type that the document must match
     */
    public static List<String> faults(JsonNode tree, Class<?> type) {
        RecordShape shape = new RecordShape();
        shape.checkRecord("", tree, type);
        return List.copyOf(shape.faults);
    }

    private void checkRecord(String prefix, JsonNode node, Class<?> type) {
        if (!node.isObject()) {
            faults.add(prefix + ": must be a table; write its keys below it");
            return;
        }
        RecordComponent[] components = type.getRecordComponents();
        List<String> known =
                Arrays.stream(components).map(RecordComponent::getName).toList();
        node.fieldNames().forEachRemaining(name -> {
            if (!known.contains(name)) {
                faults.add(key(prefix, name) + ": is unknown; remove it or use one of " + known);
            }
        });
        for (RecordComponent component : components) {
            checkComponent(key(prefix, component.getName()), node.get(component.getName()), component);
        }
    }

    private void checkComponent(String key, @Nullable JsonNode value, RecordComponent component) {
        Class<?> type = component.getType();
        if (value == null) {
            boolean optional = component.getAnnotatedType().isAnnotationPresent(Nullable.class)
                    || List.class.isAssignableFrom(type)
                    || type == boolean.class;
            if (!optional) {
                faults.add(key + ": is missing; add it");
            }
            return;
        }
        if (List.class.isAssignableFrom(type)) {
            checkList(key, value, component);
        } else if (type.isRecord()) {
            checkRecord(key, value, type);
        } else if (!hasType(value, type)) {
            faults.add(key + ": '" + value.asText() + "' is invalid, expected " + describe(type) + "; correct it");
        }
    }

    private void checkList(String key, JsonNode value, RecordComponent component) {
        if (!value.isArray()) {
            faults.add(key + ": must be an array; write [ ] or one [[" + key + "]] for each entry");
            return;
        }
        ParameterizedType listType = (ParameterizedType) component.getGenericType();
        Class<?> elementType = (Class<?>) listType.getActualTypeArguments()[0];
        for (int index = 0; index < value.size(); index++) {
            String elementKey = key + "[" + index + "]";
            if (elementType.isRecord()) {
                checkRecord(elementKey, value.get(index), elementType);
            } else if (!hasType(value.get(index), elementType)) {
                faults.add(elementKey + ": '" + value.get(index).asText() + "' is invalid, expected "
                        + describe(elementType) + "; correct it");
            }
        }
    }

    private static boolean hasType(JsonNode value, Class<?> type) {
        if (type == boolean.class) {
            return value.isBoolean();
        }
        if (type == int.class || type == long.class) {
            return value.isIntegralNumber();
        }
        if (type == double.class || type == Double.class) {
            return value.isNumber();
        }
        if (type.isEnum()) {
            return Arrays.stream(type.getEnumConstants())
                    .anyMatch(constant -> constant.toString().equals(value.asText()));
        }
        return value.isTextual();
    }

    private static String describe(Class<?> type) {
        if (type.isEnum()) {
            return "one of " + Arrays.toString(type.getEnumConstants());
        }
        if (type == double.class || type == Double.class) {
            return "number";
        }
        return type == String.class ? "text" : type == boolean.class ? "true or false" : "whole number";
    }

    private static String key(String prefix, String name) {
        return prefix.isEmpty() ? name : prefix + "." + name;
    }
}
